"""Adapter that runs goldcrestwharf on the users' platform.

Only this package knows the names and formats of the platform. It decodes
them into this project's types and passes these to a ``proxy.ProxyDaemon``.
"""
