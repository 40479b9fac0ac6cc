"""Choice of targets by load, latency and state."""

from pimentoscale.routing.choice import ChoiceRequest, TargetChoice, make_choice
from pimentoscale.routing.targets import Target, Targets

__all__ = ["ChoiceRequest", "Target", "TargetChoice", "Targets", "make_choice"]
