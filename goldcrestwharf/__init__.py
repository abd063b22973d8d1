"""Distribute checked configuration to every proxy of a service mesh."""

__version__ = '0.1.0'
