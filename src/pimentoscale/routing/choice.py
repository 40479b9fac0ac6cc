"""Load-balancing strategies that choose among the targets of a service."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pimentoscale.routing.targets import Target


@dataclass(slots=True, kw_only=True, frozen=True)
class ChoiceRequest:
    """The properties of a call that the choice of its target depends on.

    `zone` is the zone of the calling node, and `out_of_zone_ms` the latency added by a
    target in another zone.
    """

    kind: str
    zone: str
    out_of_zone_ms: int


class TargetChoice(Protocol):
    """Chooses one of several targets."""

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return one of the targets; there must be at least one."""


ChoiceFactory = Callable[[random.Random], TargetChoice]
_CHOICES: dict[str, ChoiceFactory] = {}


def register_choice(name: str) -> Callable[[ChoiceFactory], ChoiceFactory]:
    """Register a factory that takes the random number generator."""

    def register(factory: ChoiceFactory) -> ChoiceFactory:
        _CHOICES[name] = factory
        return factory

    return register


def make_choice(*, name: str, rng: random.Random) -> TargetChoice:
    """Return a new target choice; raise `KeyError` for an unknown name."""
    return _CHOICES[name](rng)


@register_choice("random")
class RandomChoice:
    """Uniformly random choice, as a baseline."""

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return a random target."""
        return self._rng.choice(targets)


@register_choice("round_robin")
class RoundRobinChoice:
    """Round robin, as a baseline."""

    __slots__ = ("_index",)

    def __init__(self, rng: random.Random) -> None:
        self._index = rng.randrange(1024)

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return the next target."""
        self._index += 1
        return targets[self._index % len(targets)]


@register_choice("two_choices")
class TwoChoices:
    """Power of two choices: the one of two random targets that should answer sooner.

    The first of the two is in the calling node's zone if that has a target. So a target
    in another zone is chosen only if it should answer sooner despite the network
    latency.
    """

    __slots__ = ("_rng",)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return the one of two random targets that should answer sooner."""
        if len(targets) == 1:
            return targets[0]
        same_zone = [target for target in targets if target.zone == request.zone]
        first = self._rng.choice(same_zone or targets)
        second = self._rng.choice([item for item in targets if item is not first])
        first_ms = estimate_ms(first, request, now=now)
        second_ms = estimate_ms(second, request, now=now)
        return first if first_ms <= second_ms else second


def estimate_ms(target: Target, request: ChoiceRequest, *, now: float) -> float:
    """Return the expected time to an answer of a target, in milliseconds."""
    latency_ms = target.get_latency_ms(request.kind, now=now)
    network_ms = request.out_of_zone_ms if target.zone != request.zone else 0
    occupancy = target.get_occupancy(now=now)
    return latency_ms * (0.5 + occupancy) + network_ms
