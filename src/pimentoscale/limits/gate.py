"""Admits the requests of organisations at the node that receives them.

Designed for an organisation that sends more than it may, spread over many nodes of
which each sees a part that is far below the limit. The home of the zone tells the
nodes, behind the requests, which share of them to admit; no request waits for it. An
organisation below its limit has a share of 1.

A node that its home does not answer goes on with what it admitted before, or with its
part of the limit: it can't know what others admit meanwhile.
"""

import math
from dataclasses import dataclass, field

from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.limits.allowance import TokenBucket, Usage
from pimentoscale.organisations.registry import Organisation

# A home that has not answered for this long, or for so many of its periods, is out of
# touch.
CONTACT_S = 1.0
CONTACT_PERIODS = 5
# Smoothing time of what a node admits, in seconds.
USUAL_SMOOTHING_S = 2.0
# Part of an even share of the limit that a node without a home may use at least.
ALONE_PART = 0.5
# Time between a refusal and the return of its caller, in seconds, at a share of nearly
# 1, and at most: the lower the share, the more callers have to share the next places.
RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 2.0
# Organisations without a request for this long are forgotten.
FORGET_S = 30.0


@dataclass(slots=True, kw_only=True)
class _Gate:
    # `credit` is what the admitted share has added up to since the last admission, and
    # `usual_rate` the smoothed rate of admissions.
    own: TokenBucket
    alone: TokenBucket
    credit: float
    used_at: float
    share: float = 1.0
    usual_rate: float = 0.0
    usage: Usage = field(default_factory=Usage)


class QuotaGate:
    """Admits or refuses requests, and counts them for the home.

    `phase` returns a number from 0 to 1, by which nodes differ in when they admit the
    first request of a share.
    """

    __slots__ = (
        "_contact_at",
        "_contact_s",
        "_gates",
        "_nodes",
        "_phase",
        "_shares",
    )

    def __init__(self, *, phase: float) -> None:
        self._phase = phase
        self._gates: dict[str, _Gate] = {}
        self._shares: dict[str, float] = {}
        self._contact_at = -math.inf
        self._contact_s = CONTACT_S
        self._nodes = 1

    def set_size(self, *, nodes: int, period_s: float) -> None:
        """Set how many nodes there are over all zones, and the period of the home."""
        self._nodes = max(1, nodes)
        self._contact_s = max(CONTACT_S, CONTACT_PERIODS * period_s)

    def is_alone(self, *, now: float) -> bool:
        """Return whether the home is out of touch."""
        return now - self._contact_at > self._contact_s

    def get_share(self, name: str) -> float:
        """Return the share of an organisation's requests that is admitted."""
        return self._shares.get(name, 1.0)

    def admit(self, organisation: Organisation, *, now: float) -> CallError | None:
        """Count a request; return an error if the organisation is at its limit."""
        if organisation.rate_limit <= 0:
            return None
        gate = self._get_gate(organisation, now)
        gate.used_at = now
        gate.usage.asked += 1
        share = self.get_share(organisation.name)
        if self.is_alone(now=now):
            is_admitted = gate.alone.try_take(now=now)
        else:
            gate.credit = min(2.0, gate.credit + share)
            is_admitted = gate.credit >= 1 and gate.own.try_take(now=now)
            if is_admitted:
                gate.credit -= 1
        if is_admitted:
            gate.usage.admitted += 1
            return None
        wait_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_S / max(0.01, share))
        return CallError(
            kind=ErrorKind.OVER_QUOTA,
            detail=f"organisation={organisation.name} "
            f"rate={organisation.rate_limit:.1f} share={share:.2f} "
            f"alone={self.is_alone(now=now)}",
            retry_after_ms=int(1000 * wait_s),
        )

    def take_back(self, organisation: Organisation) -> None:
        """Take back the admission of a request that has not run."""
        gate = self._gates.get(organisation.name)
        if gate is not None:
            gate.usage.admitted -= 1

    def apply_shares(self, shares: dict[str, float], *, now: float) -> None:
        """Use what the home has answered: the shares that are below 1."""
        self._shares = shares
        self._contact_at = now

    def take_usage(
        self, limits: dict[str, Organisation], *, elapsed_s: float, now: float
    ) -> dict[str, Usage]:
        """Return what was counted since the last call, `elapsed_s` ago.

        `limits` are those in force, which are used from now on.
        """
        taken: dict[str, Usage] = {}
        is_alone = self.is_alone(now=now)
        for name, gate in list(self._gates.items()):
            usage = gate.usage
            organisation = limits.get(name)
            if organisation is None or now - gate.used_at > FORGET_S:
                del self._gates[name]
                continue
            if not is_alone and elapsed_s > 0:
                rate = max(0, usage.admitted) / elapsed_s
                smoothing = min(1.0, elapsed_s / USUAL_SMOOTHING_S)
                gate.usual_rate += smoothing * (rate - gate.usual_rate)
            self._set_limits(gate, organisation, now)
            if usage.asked or usage.admitted:
                taken[name] = usage
                gate.usage = Usage()
        return taken

    def _get_gate(self, organisation: Organisation, now: float) -> _Gate:
        gate = self._gates.get(organisation.name)
        if gate is None:
            depth = organisation.rate_limit + organisation.burst
            gate = _Gate(
                own=TokenBucket(rate=0, depth=depth, tokens=depth, now=now),
                alone=TokenBucket(rate=0, depth=1, tokens=1, now=now),
                credit=self._phase,
                used_at=now,
            )
            self._set_limits(gate, organisation, now)
            self._gates[organisation.name] = gate
        return gate

    def _set_limits(self, gate: _Gate, organisation: Organisation, now: float) -> None:
        rate = organisation.rate_limit
        gate.own.set_limit(
            rate=rate, depth=max(1.0, rate + organisation.burst), now=now
        )
        even_rate = rate * ALONE_PART / self._nodes
        alone_rate = min(rate, max(gate.usual_rate, even_rate))
        gate.alone.set_limit(rate=alone_rate, depth=1 + alone_rate, now=now)
