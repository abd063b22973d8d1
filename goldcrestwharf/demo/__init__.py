"""A demonstration of configuration changes on a running mesh."""

from goldcrestwharf.demo._errors import DemoError
from goldcrestwharf.demo._plan import DemoPlan, DemoSummary
from goldcrestwharf.demo._run import run_demo

__all__ = ('DemoError', 'DemoPlan', 'DemoSummary', 'run_demo')
