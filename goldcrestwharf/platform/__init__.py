"""Run goldcrestwharf on the users' platform.

The only package that knows the platform's names and forms. It decodes them
into the types of the product and feeds a ``proxy.ProxyDaemon`` from them.
"""
