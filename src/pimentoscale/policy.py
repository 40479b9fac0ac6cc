"""Policies: the limit algorithm, target choice and retry rule of a node."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum


class RetryRule(Enum):
    """The rule by which a node decides whether to retry a call."""

    PER_HOP = "per_hop"
    BUDGET = "budget"


@dataclass(slots=True, kw_only=True, frozen=True)
class PolicyAlgorithms:
    """The limit algorithm, target choice and retry rule of one policy.

    The first two are registered names. The parameters that can be configured are in
    `configuration.Policy`.

    With `in_order_of_arrival` all calls have the same importance and class, and every
    usable target is a candidate, whatever its load and latency.
    """

    name: str
    limit_algorithm: str
    target_choice: str
    retry_rule: RetryRule
    in_order_of_arrival: bool
    sends_hedges: bool = False


_POLICIES: dict[str, PolicyAlgorithms] = {}
PER_HOP_RETRIES = 3


def register_policy(
    factory: Callable[[], PolicyAlgorithms],
) -> Callable[[], PolicyAlgorithms]:
    """Register the policy that the decorated function returns."""
    algorithms = factory()
    _POLICIES[algorithms.name] = algorithms
    return factory


def get_policy(name: str) -> PolicyAlgorithms | None:
    """Return the policy of that name, or None if it is unknown."""
    return _POLICIES.get(name)


def list_policies() -> list[str]:
    """Return the sorted names of all policies."""
    return sorted(_POLICIES)


@register_policy
def make_none_policy() -> PolicyAlgorithms:
    """Return the baseline without limits and with three retries at each hop."""
    return PolicyAlgorithms(
        name="none",
        limit_algorithm="unlimited",
        target_choice="random",
        retry_rule=RetryRule.PER_HOP,
        in_order_of_arrival=True,
    )


@register_policy
def make_static_policy() -> PolicyAlgorithms:
    """Return the baseline with a fixed limit and a first-in, first-out queue."""
    return PolicyAlgorithms(
        name="static",
        limit_algorithm="fixed",
        target_choice="round_robin",
        retry_rule=RetryRule.BUDGET,
        in_order_of_arrival=True,
    )


@register_policy
def make_adaptive_policy() -> PolicyAlgorithms:
    """Return the policy for production."""
    return PolicyAlgorithms(
        name="adaptive",
        limit_algorithm="aimd",
        target_choice="two_choices",
        retry_rule=RetryRule.BUDGET,
        in_order_of_arrival=False,
        sends_hedges=True,
    )


@register_policy
def make_gradient_policy() -> PolicyAlgorithms:
    """Return the production policy with the gradient limit algorithm."""
    return replace(make_adaptive_policy(), name="gradient", limit_algorithm="gradient")


@register_policy
def make_unhedged_policy() -> PolicyAlgorithms:
    """Return the production policy without hedged requests."""
    return replace(make_adaptive_policy(), name="unhedged", sends_hedges=False)
