"""Load balancing: the choice of a target by load, latency and state."""

from pimentoscale.routing.choice import ChoiceRequest, TargetChoice, make_choice
from pimentoscale.routing.hedging import HedgeBudget
from pimentoscale.routing.latency_estimator import LatencyEstimator
from pimentoscale.routing.targets import Target, Targets

__all__ = [
    "ChoiceRequest",
    "HedgeBudget",
    "LatencyEstimator",
    "Target",
    "TargetChoice",
    "Targets",
    "make_choice",
]
