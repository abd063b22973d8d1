"""Background tasks that run again after an unexpected exception."""

from goldcrestwharf.background._supervisor import keep_running, start_tasks

__all__ = ('keep_running', 'start_tasks')
