"""The end of a node: what it still takes, when it answers, and when it may end."""

from pimentoscale.shutdown.last_answers import send_last_answers
from pimentoscale.shutdown.rule import Shutdown
from pimentoscale.shutdown.time_limits import TimeLimits

__all__ = ["Shutdown", "TimeLimits", "send_last_answers"]
