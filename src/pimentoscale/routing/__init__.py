"""Choice of targets by load, latency and state."""

from pimentoscale.routing.choice import ChoiceRequest, TargetChoice, make_choice
from pimentoscale.routing.hedging import HedgeBudget
from pimentoscale.routing.targets import Target, Targets
from pimentoscale.routing.usual import UsualTimes

__all__ = [
    "ChoiceRequest",
    "HedgeBudget",
    "Target",
    "TargetChoice",
    "Targets",
    "UsualTimes",
    "make_choice",
]
