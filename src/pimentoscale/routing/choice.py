"""Ways of choosing among the targets of a service."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pimentoscale.routing.targets import Target


@dataclass(slots=True, kw_only=True, frozen=True)
class ChoiceRequest:
    """What a choice may depend on."""

    kind: str
    zone: str
    out_of_zone_ms: int


class TargetChoice(Protocol):
    """Chooses one of several targets."""

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return one of the targets, which are at least one."""


ChoiceMaker = Callable[[random.Random], TargetChoice]
_CHOICES: dict[str, ChoiceMaker] = {}


def register_choice(name: str) -> Callable[[ChoiceMaker], ChoiceMaker]:
    """Register a maker of choices; it gets the source of random numbers."""

    def register(maker: ChoiceMaker) -> ChoiceMaker:
        _CHOICES[name] = maker
        return maker

    return register


def make_choice(*, name: str, source: random.Random) -> TargetChoice:
    """Return a new choice; raises `KeyError` for an unknown name."""
    return _CHOICES[name](source)


@register_choice("random")
class RandomChoice:
    """Any target alike, as a baseline."""

    __slots__ = ("_source",)

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return any target."""
        return self._source.choice(targets)


@register_choice("round_robin")
class RoundRobinChoice:
    """One after the other, as a baseline."""

    __slots__ = ("_turn",)

    def __init__(self, source: random.Random) -> None:
        self._turn = source.randrange(1024)

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return the next target."""
        self._turn += 1
        return targets[self._turn % len(targets)]


@register_choice("two_choices")
class TwoChoices:
    """The better of two random targets, by expected time.

    One of the two is of this zone, if it has any: the other zones' are chosen only
    if they should answer sooner in spite of the way.
    """

    __slots__ = ("_source",)

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, targets: Sequence[Target], request: ChoiceRequest, *, now: float
    ) -> Target:
        """Return the one of two that should answer sooner."""
        if len(targets) == 1:
            return targets[0]
        own = [target for target in targets if target.zone == request.zone]
        first = self._source.choice(own or targets)
        second = self._source.choice([item for item in targets if item is not first])
        first_ms = estimate_ms(first, request, now=now)
        second_ms = estimate_ms(second, request, now=now)
        return first if first_ms <= second_ms else second


def estimate_ms(target: Target, request: ChoiceRequest, *, now: float) -> float:
    """Return the time in which a target should answer, in milliseconds."""
    latency_ms = target.get_latency_ms(request.kind, now=now)
    distance_ms = request.out_of_zone_ms if target.zone != request.zone else 0
    occupancy = target.get_occupancy(now=now)
    return latency_ms * (0.5 + occupancy) + distance_ms
