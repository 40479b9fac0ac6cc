"""Carries what the quotas of organisations need from node to node.

Each node reports to the home of its zone, a member that all nodes of the zone choose
alike. The home answers with the shares to admit, and tells the homes of the other zones
the demand in its own. All of it stops while no organisation has a limit.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

import xxhash

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.limits import (
    QuotaBounds,
    QuotaGate,
    QuotaHome,
    Usage,
    ZoneShares,
)
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.organisations import Organisation
from pimentoscale.stream import (
    AdmittedShares,
    Connection,
    Hello,
    ReportUsage,
    ZoneDemand,
)

# Period of the reports in a zone of up to `PERIOD_NODES` nodes, in proportion above.
REPORT_PERIOD_S = 0.2
PERIOD_NODES = 250
# A home states its demand to other zones once in so many periods.
STATEMENT_PERIODS = 2
# Another node of a zone is tried if the one tried first does not answer for this long.
ANSWER_TIMEOUT_S = 1.5
# How old the index of members by zone may be.
INDEX_PERIOD_S = 0.5
SHARE_UNITS = 1_000_000
DEMAND_UNITS = 1000
HASH_SEED = 17
# Least time between two log lines about the organisations at their limits.
LOG_PERIOD_S = 1.0
MAX_LOGGED = 5

log = get_logger("quotas")


class QuotaExchange:
    """The quota gate of a node, its part as a home, and their messages."""

    def __init__(
        self,
        *,
        state: SidecarState,
        links: Links,
        spawn: Callable[[Coroutine[Any, Any, None]], None],
        phase: float,
        now: float,
    ) -> None:
        self._state = state
        self._links = links
        self._spawn = spawn
        self._home = QuotaHome(bounds=_make_bounds(state.settings), now=now)
        self._zone_shares = ZoneShares(incarnation=state.incarnation)
        # The connections of the nodes that report to this one.
        self._reporters: dict[str, Connection] = {}
        self._period = 0
        # The node of each other zone that was tried last, and since when.
        self._tried: dict[str, tuple[int, float]] = {}
        self._answered_at: dict[str, float] = {}
        self._logged_at = -math.inf
        self._was_home = False
        self._zones: dict[str, list[Member]] = {}
        self._indexed_at = -math.inf
        self.gate = QuotaGate(phase=phase)

    async def run(self) -> None:
        """Report and decide periodically until cancelled."""
        loop = asyncio.get_running_loop()
        last = loop.time()
        while True:
            await asyncio.sleep(self._get_period_s())
            now = loop.time()
            limits = self._get_limits()
            if limits:
                try:
                    self._exchange(limits, elapsed_s=now - last, now=now)
                except Exception as error:
                    log.error("exchange failed", exc_info=error)
            last = now

    def handle_report(
        self, connection: Connection, remote: Hello, frame: ReportUsage
    ) -> None:
        """Count what a node of this zone reports."""
        if remote.zone != self._state.settings.zone:
            return
        usage = {
            name: Usage(asked=asked, admitted=admitted)
            for name, (asked, admitted) in frame.usage.items()
        }
        self._reporters[remote.instance] = connection
        self._home.record_report(
            remote.instance,
            usage,
            self._get_limits(),
            now=asyncio.get_running_loop().time(),
        )

    def handle_shares(self, remote: Hello, frame: AdmittedShares) -> None:
        """Use the shares that the home has sent."""
        shares = {name: share / SHARE_UNITS for name, share in frame.shares.items()}
        self.gate.apply_shares(shares, now=asyncio.get_running_loop().time())

    def handle_demand(
        self, connection: Connection, remote: Hello, frame: ZoneDemand
    ) -> None:
        """Note the demand of another zone; pass it on if this node is no home."""
        own_zone = self._state.settings.zone
        if frame.zone == own_zone:
            return
        home = self._find_home()
        if home != self._state.settings.instance:
            if remote.zone != own_zone:
                self._links.send(home, frame)
            return
        self._answered_at[frame.zone] = asyncio.get_running_loop().time()
        self._zone_shares.record_statement(
            frame.zone,
            {name: units / DEMAND_UNITS for name, units in frame.demands.items()},
            number=(frame.incarnation, frame.serial),
            confirmed=(frame.confirmed_incarnation, frame.confirmed_serial),
        )

    def apply_settings(self) -> None:
        """Apply the bounds of the settings in force."""
        self._home.set_bounds(_make_bounds(self._state.settings))

    def _exchange(
        self, limits: dict[str, Organisation], *, elapsed_s: float, now: float
    ) -> None:
        own = self._state.settings.instance
        self.gate.set_size(
            nodes=len(self._state.members), period_s=self._get_period_s()
        )
        usage = self.gate.take_usage(limits, elapsed_s=elapsed_s, now=now)
        home = self._find_home()
        if home != own:
            counts = {name: (item.asked, item.admitted) for name, item in usage.items()}
            self._links.send(home, ReportUsage(usage=counts))
            if self._was_home:
                self._was_home = False
                log.info("no longer home of the quotas: home=%s", home)
            return
        self._home.record_report(own, usage, limits, now=now)
        self._act_as_home(limits, now=now)

    def _act_as_home(self, limits: dict[str, Organisation], *, now: float) -> None:
        zones = self._list_zones()
        nodes = {self._state.settings.instance, *self._list_nodes()}
        self._zone_shares.set_zones(set(zones))
        is_home = self._home.has_majority(nodes, period_s=self._get_period_s(), now=now)
        if is_home != self._was_home:
            self._was_home = is_home
            log.info(
                "home of the quotas: %s zones=%d nodes=%d reporters=%d",
                is_home,
                1 + len(zones),
                len(nodes),
                len(self._reporters),
            )
        if not is_home:
            return
        names = self._home.get_demands()
        zone_shares = {
            name: self._zone_shares.get_share(name, rate=limits[name].rate_limit)
            for name in names
            if name in limits
        }
        shares = self._home.update(limits, zone_shares, zones=1 + len(zones), now=now)
        frame = AdmittedShares(
            shares={name: int(share * SHARE_UNITS) for name, share in shares.items()}
        )
        self.gate.apply_shares(shares, now=now)
        for name, connection in list(self._reporters.items()):
            if connection.is_open:
                connection.send(frame)
            else:
                del self._reporters[name]
        self._log_shares(shares, now)
        self._period += 1
        if self._period % STATEMENT_PERIODS == 0:
            self._state_demand(zones, now)

    def _state_demand(self, zones: dict[str, list[Member]], now: float) -> None:
        """Tell the other zones what is asked in this one."""
        demands = self._home.get_demands()
        incarnation, serial = self._zone_shares.state(demands)
        units = {name: int(rate * DEMAND_UNITS) for name, rate in demands.items()}
        for zone, members in zones.items():
            heard = self._zone_shares.get_heard(zone)
            frame = ZoneDemand(
                zone=self._state.settings.zone,
                incarnation=incarnation,
                serial=serial,
                demands=units,
                confirmed_incarnation=heard[0],
                confirmed_serial=heard[1],
            )
            member = self._choose_member(zone, members, now)
            peer = self._links.find_peer(member.instance)
            if peer is not None:
                self._links.touch(member.instance, now=now)
                peer.send(frame)
            else:
                self._spawn(
                    self._links.send_once_up(
                        member, frame, ends_at=now + REPORT_PERIOD_S
                    )
                )

    def _choose_member(self, zone: str, members: list[Member], now: float) -> Member:
        """Return the node of a zone to tell: its home, as far as this one knows."""
        index, since = self._tried.get(zone, (0, now))
        answered_at = self._answered_at.get(zone, -math.inf)
        if now - max(answered_at, since) > ANSWER_TIMEOUT_S:
            index, since = index + 1, now
        self._tried[zone] = (index, since)
        ranked = sorted(members, key=_rank_member)
        return ranked[index % len(ranked)]

    def _find_home(self) -> str:
        """Return the home of this zone: the first in rank that can be reached."""
        own = self._state.settings.instance
        names = sorted({own, *self._list_nodes()}, key=_rank)
        for name in names:
            if name == own or self._links.is_up(name):
                return name
        return own

    def _list_nodes(self) -> list[str]:
        """Return the members of this zone."""
        members = self._get_zones().get(self._state.settings.zone, [])
        return [member.instance for member in members]

    def _list_zones(self) -> dict[str, list[Member]]:
        """Return the members of each other zone."""
        own_zone = self._state.settings.zone
        return {
            zone: members
            for zone, members in self._get_zones().items()
            if zone != own_zone
        }

    def _get_zones(self) -> dict[str, list[Member]]:
        """Return the members of each zone, as they were a moment ago."""
        now = asyncio.get_running_loop().time()
        if now - self._indexed_at >= INDEX_PERIOD_S:
            self._indexed_at = now
            self._zones = {}
            for member in self._state.members.values():
                self._zones.setdefault(member.zone, []).append(member)
        return self._zones

    def _get_limits(self) -> dict[str, Organisation]:
        """Return the organisations that have a limit."""
        table = self._state.table
        if table is None or table.organisations is None:
            return {}
        return table.organisations.limited

    def _get_period_s(self) -> float:
        nodes = len(self._list_nodes())
        return REPORT_PERIOD_S * max(1.0, nodes / PERIOD_NODES)

    def _log_shares(self, shares: dict[str, float], now: float) -> None:
        if not shares or now - self._logged_at < LOG_PERIOD_S:
            return
        self._logged_at = now
        least = sorted(shares, key=lambda name: shares[name])[:MAX_LOGGED]
        log.info(
            "%d organisations at their limits: %s",
            len(shares),
            "; ".join(f"{name}: {self._home.describe(name)}" for name in least),
        )


def _make_bounds(settings: SidecarSettings) -> QuotaBounds:
    return QuotaBounds(
        window_s=settings.rate_window_s,
        overage=settings.rate_overage,
        slack=settings.rate_slack,
    )


def _rank(instance: str) -> int:
    """Return the order key of homes; others than those of the records' tree."""
    return xxhash.xxh3_64_intdigest(instance.encode(), HASH_SEED)


def _rank_member(member: Member) -> int:
    return _rank(member.instance)
