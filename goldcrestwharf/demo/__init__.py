"""Show a running mesh at work to somebody who is new to it."""

from goldcrestwharf.demo._errors import DemoError
from goldcrestwharf.demo._plan import DemoPlan, DemoSummary
from goldcrestwharf.demo._run import run_demo

__all__ = ('DemoError', 'DemoPlan', 'DemoSummary', 'run_demo')
