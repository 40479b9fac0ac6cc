"""Gates and homes of a few zones that exchange their messages after a delay.

Time advances in fixed steps; the part of `forwarding/quotas.py` that chooses homes and
carries messages is reduced to a list of what is under way.
"""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pimentoscale.limits import QuotaBounds, QuotaGate, QuotaHome, ZoneShares
from pimentoscale.organisations import Organisation

STEP_S = 0.01
PERIOD_S = 0.2
DELAY_S = 0.02
STATEMENT_PERIODS = 2
BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)


@dataclass(slots=True, kw_only=True)
class Zone:
    """The nodes of a zone; `home` is the index of the one that decides, if any."""

    name: str
    gates: list[QuotaGate]
    home: int | None
    decider: QuotaHome
    shares: ZoneShares
    cut: set[str] = field(default_factory=set)
    alone: set[int] = field(default_factory=set)


@dataclass(slots=True, kw_only=True)
class Model:
    """Zones that admit requests of organisations; `admitted` holds the times."""

    organisations: dict[str, Organisation]
    zones: list[Zone]
    rng: random.Random
    now: float = 100.0
    asked: dict[str, int] = field(default_factory=dict)
    admitted: dict[str, list[float]] = field(default_factory=dict)
    _under_way: deque[tuple[float, Callable[[], None]]] = field(default_factory=deque)
    _steps: int = 0
    _incarnation: int = 0

    def run(
        self, seconds: float, demand: Callable[[Zone, int, str], float]
    ) -> dict[str, float]:
        """Advance time at a demand by zone, node and organisation, in a second.

        Return the rate of admissions of each organisation.
        """
        before = {name: len(times) for name, times in self.admitted.items()}
        for _ in range(round(seconds / STEP_S)):
            self._step(demand)
        return {
            name: (len(self.admitted.get(name, [])) - before.get(name, 0)) / seconds
            for name in self.organisations
        }

    def find_excess(self, name: str) -> float:
        """Return by how much the fullest window exceeds its bound; negative if not."""
        organisation = self.organisations[name]
        rate, burst = organisation.rate_limit, organisation.burst
        allowed = rate * BOUNDS.window_s + burst
        bound = allowed * (1 + BOUNDS.overage) + BOUNDS.slack
        times = self.admitted.get(name, [])
        most = first = 0
        for index, time in enumerate(times):
            while times[first] < time - BOUNDS.window_s:
                first += 1
            most = max(most, index - first + 1)
        return most - bound

    def replace_home(self, zone: Zone, *, index: int | None) -> None:
        """Let another node take over, which knows nothing."""
        self._incarnation += 1
        zone.home = index
        zone.decider = QuotaHome(bounds=BOUNDS, now=self.now)
        zone.shares = ZoneShares(incarnation=self._incarnation)

    def _step(self, demand: Callable[[Zone, int, str], float]) -> None:
        self.now += STEP_S
        self._steps += 1
        while self._under_way and self._under_way[0][0] <= self.now:
            self._under_way.popleft()[1]()
        for zone in self.zones:
            for index, gate in enumerate(zone.gates):
                for name, organisation in self.organisations.items():
                    self._send_requests(
                        gate, organisation, demand(zone, index, name) * STEP_S
                    )
                # Nodes report at different moments of a period.
                if (self._steps + 3 * index) % round(PERIOD_S / STEP_S) == 0:
                    self._report(zone, index, gate)

    def _send_requests(
        self, gate: QuotaGate, organisation: Organisation, expected: float
    ) -> None:
        count = int(expected) + (self.rng.random() < expected % 1)
        name = organisation.name
        for _ in range(count):
            self.asked[name] = self.asked.get(name, 0) + 1
            if gate.admit(organisation, now=self.now) is None:
                self.admitted.setdefault(name, []).append(self.now)

    def _report(self, zone: Zone, index: int, gate: QuotaGate) -> None:
        nodes = sum(len(item.gates) for item in self.zones)
        gate.set_size(nodes=nodes, period_s=PERIOD_S)
        usage = gate.take_usage(self.organisations, elapsed_s=PERIOD_S, now=self.now)
        if zone.home is None or index in zone.alone:
            return
        decider = zone.decider
        self._send(
            lambda: decider.record_report(
                str(index), usage, self.organisations, now=self.now
            )
        )
        if index == zone.home:
            self._decide(zone)

    def _decide(self, zone: Zone) -> None:
        nodes = [str(index) for index in range(len(zone.gates))]
        if not zone.decider.has_majority(nodes, period_s=PERIOD_S, now=self.now):
            return
        others = [other for other in self.zones if other is not zone]
        zone.shares.set_zones({other.name for other in others})
        parts = {
            name: zone.shares.get_share(name, rate=item.rate_limit)
            for name, item in self.organisations.items()
        }
        shares = zone.decider.update(
            self.organisations, parts, zones=len(self.zones), now=self.now
        )
        for index, gate in enumerate(zone.gates):
            if index not in zone.alone:
                self._send(
                    lambda gate=gate: gate.apply_shares(  # type: ignore[misc]
                        shares, now=self.now
                    )
                )
        demands = zone.decider.get_demands()
        number = zone.shares.state(demands)
        for other in others:
            heard = zone.shares.get_heard(other.name)
            if other.name not in zone.cut:
                self._send(
                    lambda other=other, heard=heard: (  # type: ignore[misc]
                        other.shares.record_statement(
                            zone.name, demands, number=number, confirmed=heard
                        )
                    )
                )

    def _send(self, deliver: Callable[[], None]) -> None:
        self._under_way.append((self.now + DELAY_S, deliver))


def make_model(
    *organisations: Organisation, zones: int = 3, nodes: int = 6, seed: int = 1
) -> Model:
    """Return zones of equal size whose homes have just started."""
    rng = random.Random(seed)
    return Model(
        organisations={item.name: item for item in organisations},
        zones=[
            Zone(
                name=f"z{index}",
                gates=[QuotaGate(phase=rng.random()) for _ in range(nodes)],
                home=0,
                decider=QuotaHome(bounds=BOUNDS, now=100.0),
                shares=ZoneShares(incarnation=1000 + index),
            )
            for index in range(zones)
        ],
        rng=rng,
        _incarnation=5000,
    )
