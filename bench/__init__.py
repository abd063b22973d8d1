"""Measure parts of goldcrestwharf; each module prints JSON lines."""
