"""The end of a node: what it still takes, when it answers, and when it may end."""

from pimentoscale.shutdown.rule import Shutdown
from pimentoscale.shutdown.time_limits import TimeLimits

__all__ = ["Shutdown", "TimeLimits"]
