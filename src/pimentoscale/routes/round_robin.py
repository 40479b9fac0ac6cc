"""Divides the requests of a route among its services in proportion to their weights."""

from collections.abc import Sequence

from pimentoscale.routes.table import ServiceShare


class WeightedRoundRobin:
    """Smooth weighted round robin.

    After any number of requests, no service is more than one request off its share.
    `phase`, from 0 to 1, shifts the order, so that nodes do not choose in lockstep.
    """

    __slots__ = ("_credits", "_phase", "_shares")

    def __init__(self, *, shares: Sequence[ServiceShare], phase: float) -> None:
        self._phase = phase
        self.set_shares(shares)

    def set_shares(self, shares: Sequence[ServiceShare]) -> None:
        """Replace the services and weights, and restart the sequence."""
        self._shares = tuple(shares)
        total = sum(share.weight for share in self._shares)
        self._credits = [
            self._phase * share.weight - (self._phase * total if index == 0 else 0)
            for index, share in enumerate(self._shares)
        ]

    @property
    def shares(self) -> tuple[ServiceShare, ...]:
        """Return the services and weights in use."""
        return self._shares

    def choose(self) -> str:
        """Return the service for the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        best = 0
        total = 0
        for index, share in enumerate(self._shares):
            self._credits[index] += share.weight
            total += share.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= total
        return self._shares[best].service
