"""Speak to the platform's append-only log."""

from goldcrestwharf.platform._log import Log, LogPage, LogRecord

__all__ = ('Log', 'LogPage', 'LogRecord')
