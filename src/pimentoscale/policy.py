"""Policies: which limit algorithm, choice and retry rule a node follows."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum


class RetryRule(Enum):
    """How a node decides on one more attempt."""

    PER_HOP = "per_hop"
    BUDGET = "budget"


@dataclass(slots=True, kw_only=True, frozen=True)
class PolicyMode:
    """The parts of one policy, by their names in the registries."""

    name: str
    limit_algorithm: str
    target_choice: str
    retry_rule: RetryRule
    in_order_of_arrival: bool
    sends_hedges: bool = False


_POLICIES: dict[str, PolicyMode] = {}
PER_HOP_RETRIES = 3


def register_policy(maker: Callable[[], PolicyMode]) -> Callable[[], PolicyMode]:
    """Register the policy that `maker` describes."""
    mode = maker()
    _POLICIES[mode.name] = mode
    return maker


def get_policy(name: str) -> PolicyMode | None:
    """Return a policy by name."""
    return _POLICIES.get(name)


def list_policies() -> list[str]:
    """Return the names of all policies."""
    return sorted(_POLICIES)


@register_policy
def describe_none() -> PolicyMode:
    """Describe the baseline without limits, with three retries at each hop."""
    return PolicyMode(
        name="none",
        limit_algorithm="unlimited",
        target_choice="random",
        retry_rule=RetryRule.PER_HOP,
        in_order_of_arrival=True,
    )


@register_policy
def describe_static() -> PolicyMode:
    """Describe the baseline with a fixed limit, first in first out."""
    return PolicyMode(
        name="static",
        limit_algorithm="fixed",
        target_choice="round_robin",
        retry_rule=RetryRule.BUDGET,
        in_order_of_arrival=True,
    )


@register_policy
def describe_adaptive() -> PolicyMode:
    """Describe the policy for production."""
    return PolicyMode(
        name="adaptive",
        limit_algorithm="aimd",
        target_choice="two_choices",
        retry_rule=RetryRule.BUDGET,
        in_order_of_arrival=False,
        sends_hedges=True,
    )


@register_policy
def describe_gradient() -> PolicyMode:
    """Describe the production policy with the other limit algorithm."""
    return replace(describe_adaptive(), name="gradient", limit_algorithm="gradient")


@register_policy
def describe_unhedged() -> PolicyMode:
    """Describe the production policy without hedges."""
    return replace(describe_adaptive(), name="unhedged", sends_hedges=False)
