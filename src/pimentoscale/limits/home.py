"""Decides for one zone which share of each organisation's requests is admitted.

Designed for an organisation that sends more than it may through all nodes of a zone at
once. Every node reports what came and what it admitted; the home keeps one bucket of
tokens an organisation, which admissions may overdraw between two reports, and repays
the debt by admitting less. So the total stays within the rate and the depth of the
bucket, but for what is admitted until the next answer of the home.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoscale.limits.allowance import QuotaBounds, TokenBucket, Usage
from pimentoscale.organisations.registry import Organisation

# The share is set so that a bucket is empty after this time at the present demand. It
# has to be above the delay between an admission and the next answer of the home.
HORIZON_S = 0.6
# Smoothing time of the demand that sets the share, in seconds, and of the one by which
# zones divide the limit.
DEMAND_SMOOTHING_S = 0.4
STATED_SMOOTHING_S = 3.0
# Part of the spare requests of a window that deepens the buckets, so that the chance of
# the arrivals in a zone refuses nobody below the limit. The other part covers what is
# admitted until a new share has reached all nodes.
DEPTH_PART = 0.5
# A node that has not reported for this long, or for so many periods, is out of touch.
TOUCH_S = 1.0
TOUCH_PERIODS = 5
# Organisations without a request for this long are forgotten.
FORGET_S = 30.0
MIN_DEMAND = 0.01


@dataclass(slots=True, kw_only=True)
class _Account:
    bucket: TokenBucket
    demand: float = 0.0
    stated_demand: float = 0.0
    asked: int = 0
    asked_at: float = 0.0
    share: float = 1.0
    is_new: bool = True


class QuotaHome:
    """The buckets of a zone, and the nodes that report to this one.

    Only a home that more than half of its zone's nodes report to admits anything: of
    two nodes that take themselves for the home, one at most has them.
    """

    __slots__ = ("_accounts", "_bounds", "_reported_at", "_updated_at")

    def __init__(self, *, bounds: QuotaBounds, now: float) -> None:
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._reported_at: dict[str, float] = {}
        self._updated_at = now

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Set by how much all nodes together may exceed the limits."""
        self._bounds = bounds

    def record_report(
        self,
        node: str,
        usage: dict[str, Usage],
        limits: dict[str, Organisation],
        *,
        now: float,
    ) -> None:
        """Count what a node of the zone reports."""
        self._reported_at[node] = now
        for name, item in usage.items():
            organisation = limits.get(name)
            if organisation is None or organisation.rate_limit <= 0:
                continue
            account = self._accounts.get(name)
            if account is None:
                bucket = TokenBucket(
                    rate=organisation.rate_limit,
                    depth=organisation.burst,
                    tokens=0.0,
                    now=now,
                )
                account = _Account(bucket=bucket, asked_at=now)
                self._accounts[name] = account
            account.asked += item.asked
            account.asked_at = now
            account.bucket.refill(now=now)
            account.bucket.tokens -= item.admitted

    def has_majority(
        self, nodes: Iterable[str], *, period_s: float, now: float
    ) -> bool:
        """Return whether more than half of the zone's nodes report to this one."""
        names = list(nodes)
        since = now - max(TOUCH_S, TOUCH_PERIODS * period_s)
        touched = sum(self._reported_at.get(name, -math.inf) >= since for name in names)
        return 2 * touched > len(names)

    def get_demands(self) -> dict[str, float]:
        """Return the smoothed demand of each organisation in requests a second."""
        return {name: account.stated_demand for name, account in self._accounts.items()}

    def update(
        self,
        limits: dict[str, Organisation],
        zone_shares: dict[str, float],
        *,
        zones: int,
        now: float,
    ) -> dict[str, float]:
        """Return the shares below 1, by the organisations' limits.

        `zone_shares` is the part of each limit that this zone has, and `zones` is how
        many zones there are.
        """
        elapsed_s = now - self._updated_at
        self._updated_at = now
        shares: dict[str, float] = {}
        for name, account in list(self._accounts.items()):
            organisation = limits.get(name)
            is_unused = now - account.asked_at > FORGET_S
            if organisation is None or organisation.rate_limit <= 0 or is_unused:
                del self._accounts[name]
                continue
            zone_share = zone_shares.get(name, 1.0 / zones)
            self._set_limit(account, organisation, zone_share, zones, now)
            self._update_demand(account, elapsed_s)
            account.share = _choose_share(account)
            if account.share < 1:
                shares[name] = account.share
        return shares

    def describe(self, name: str) -> str:
        """Return what an organisation has left, for a log line."""
        account = self._accounts.get(name)
        if account is None:
            return "no requests"
        return (
            f"rate={account.bucket.rate:.1f} demand={account.demand:.1f} "
            f"left={account.bucket.tokens:.1f} share={account.share:.2f}"
        )

    def _set_limit(
        self,
        account: _Account,
        organisation: Organisation,
        zone_share: float,
        zones: int,
        now: float,
    ) -> None:
        rate, burst = organisation.rate_limit, organisation.burst
        spare = self._bounds.get_spare(rate=rate, burst=burst)
        depth = zone_share * burst + spare * DEPTH_PART / zones
        account.bucket.set_limit(rate=zone_share * rate, depth=depth, now=now)
        if account.is_new:
            # What another home admitted before is not known: the burst may be used up.
            account.is_new = False
            account.bucket.tokens += spare * DEPTH_PART / zones

    def _update_demand(self, account: _Account, elapsed_s: float) -> None:
        if elapsed_s <= 0:
            return
        rate = account.asked / elapsed_s
        account.asked = 0
        smoothing = min(1.0, elapsed_s / DEMAND_SMOOTHING_S)
        account.demand += smoothing * (rate - account.demand)
        smoothing = min(1.0, elapsed_s / STATED_SMOOTHING_S)
        account.stated_demand += smoothing * (rate - account.stated_demand)


def _choose_share(account: _Account) -> float:
    """Return the share that uses up the tokens within the horizon, at most 1."""
    allowed = account.bucket.tokens + account.bucket.rate * HORIZON_S
    demand = max(MIN_DEMAND, account.demand) * HORIZON_S
    return min(1.0, max(0.0, allowed / demand))
