"""Spreads a route's requests over its services in the proportions of their weights."""

from collections.abc import Sequence

from pimentoscale.routes.table import ServiceShare


class WeightedRoundRobin:
    """Smooth weighted round robin.

    After any number of requests no service is more than one request off its share.

    `phase` from 0 to 1 shifts the order, so that nodes do not choose in step.
    """

    __slots__ = ("_credit", "_phase", "_shares")

    def __init__(self, *, shares: Sequence[ServiceShare], phase: float) -> None:
        self._phase = phase
        self.set_shares(shares)

    def set_shares(self, shares: Sequence[ServiceShare]) -> None:
        """Start anew with other weights."""
        self._shares = tuple(shares)
        total = sum(share.weight for share in self._shares)
        self._credit = [
            self._phase * share.weight - (self._phase * total if index == 0 else 0)
            for index, share in enumerate(self._shares)
        ]

    @property
    def shares(self) -> tuple[ServiceShare, ...]:
        """Return the services and weights that are followed."""
        return self._shares

    def choose(self) -> str:
        """Return the service for the next request."""
        if len(self._shares) == 1:
            return self._shares[0].service
        best = 0
        total = 0
        for index, share in enumerate(self._shares):
            self._credit[index] += share.weight
            total += share.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= total
        return self._shares[best].service
