"""Copies of members' records, held by other nodes.

A node may have to acknowledge that its upstream leaves while the store is down, and be
killed before it could write that. Its next start gets the record from these nodes. A
record is kept once most of them hold it. A starting node asks all, since some may have
started again as well, and needs enough answers to hear of each record that is kept.

A few nodes of other zones hold a record too, and are asked, if they can be reached.

While the store is down a starting node knows no others, and hears only from those that
open a stream to it. So most of the nodes with a stream to this one must hold a record
as well; some of them may be no members, since their upstreams have left.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

import xxhash
from result import Err, Ok

from pimentoscale.forwarding.links import Links
from pimentoscale.forwarding.receiver import Receiver
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member, decode_member, encode_member
from pimentoscale.stream import (
    HeldRecord,
    HoldRecord,
    PeerLostError,
    PeerUnreachableError,
)

# Nodes that hold a record: the cost of a leaving upstream does not grow with its zone.
MAX_HOLDERS = 15
# Nodes of other zones that get a copy as well: those of one zone may be started again
# one after the other, or all at once.
MAX_FAR_HOLDERS = 3
# Records held for other nodes; the oldest are dropped beyond that.
MAX_HELD = 1024
# Pause before a node that could not be reached is asked again.
RETRY_S = 0.05
# With enough answers, a node waits this long for further ones: a stream is up within
# two round trips, unless the other node has ended.
FURTHER_ANSWERS_S = 0.3

log = get_logger("members")


def count_copies(holders: int) -> int:
    """Return how many of the holders must have a record for it to be kept."""
    return holders // 2 + 1


def count_answers(holders: int) -> int:
    """Return how many holders must answer, so that one has each record that is kept."""
    return holders - count_copies(holders) + 1 if holders else 0


def find_newest(members: Iterable[Member | None]) -> Member | None:
    """Return the record with the latest state of the upstream, None without any."""
    found = [member for member in members if member is not None]
    return max(found, key=lambda member: member.upstream_order, default=None)


def rank_holders(instance: str, names: Iterable[str]) -> list[str]:
    """Return the nodes that hold the records of an instance.

    Nodes with the same members agree on them.
    """
    others = [name for name in names if name != instance]
    others.sort(
        key=lambda name: xxhash.xxh3_64_intdigest(f"{instance}/{name}".encode())
    )
    return others[:MAX_HOLDERS]


class RecordCopies:
    """Holds records for other nodes, and has other nodes hold those of this one."""

    __slots__ = ("_asking", "_held", "_links", "_receiver", "_state")

    def __init__(
        self, *, state: SidecarState, links: Links, receiver: Receiver
    ) -> None:
        self._state = state
        self._links = links
        self._receiver = receiver
        self._held: dict[str, Member] = {}
        self._asking: set[asyncio.Task[HeldRecord | None]] = set()

    def hold(self, member: Member) -> None:
        """Hold the record of another node, unless a newer one is held."""
        held = self._held.pop(member.instance, None)
        self._held[member.instance] = find_newest((held, member)) or member
        if len(self._held) > MAX_HELD:
            del self._held[next(iter(self._held))]

    def answer(self, frame: HoldRecord) -> HeldRecord:
        """Hold the record in a frame, if any, and return the newest one held."""
        if frame.data:
            match decode_member(frame.data):
                case Ok(member) if member.instance == frame.instance:
                    self.hold(member)
                case Ok(member):
                    log.warning("record of %r not held: wrong name", frame.instance)
                case Err(reason):
                    log.warning("record of %r not held: %s", frame.instance, reason)
        return HeldRecord(query=frame.query, data=self._encode_newest(frame.instance))

    def make_notice(self, instance: str) -> HeldRecord:
        """Return the frame that tells a node which record of it is held here."""
        names = self._list_holders(instance)
        is_holder = self._state.settings.instance in names
        return HeldRecord(
            query=0,
            data=self._encode_newest(instance),
            holders=len(names) if is_holder else 0,
        )

    async def spread(self, record: Member, *, timeout_s: float) -> bool:
        """Have other nodes hold a record; return whether enough of them do in time."""
        members = self._list_holders(record.instance)
        far = self._list_far_holders(record.instance)
        neighbours = rank_holders(record.instance, self._receiver.list_neighbours())
        groups = [group for group in (members, neighbours) if group]

        def is_kept(answered: set[str]) -> bool:
            return bool(groups) and all(
                len(answered.intersection(group)) >= count_copies(len(group))
                for group in groups
            )

        names = list(dict.fromkeys([*members, *neighbours, *far]))
        answers = await self._ask(
            names,
            encode_member(record),
            is_enough=is_kept,
            timeout_s=timeout_s,
            further_s=FURTHER_ANSWERS_S,
        )
        log.info(
            "own member record held by other nodes: state=%s copies=%d members=%d "
            "neighbours=%d kept=%s",
            record.state.value,
            len(answers),
            len(members),
            len(neighbours),
            is_kept(set(answers)),
        )
        return is_kept(set(answers))

    async def collect(self, *, timeout_s: float) -> list[Member]:
        """Return the records of this node that other nodes hold.

        Fewer nodes than needed may have answered in time.
        """
        own = self._state.settings.instance
        names = self._list_holders(own)
        needed = count_answers(len(names))
        answers = await self._ask(
            list(dict.fromkeys([*names, *self._list_far_holders(own)])),
            b"",
            is_enough=lambda answered: len(answered.intersection(names)) >= needed,
            timeout_s=timeout_s,
            further_s=FURTHER_ANSWERS_S,
        )
        answered = len(set(answers).intersection(names))
        log.log(
            logging.INFO if answered >= needed else logging.WARNING,
            "own member record asked for: answers=%d needed=%d holders=%d far=%d",
            answered,
            needed,
            len(names),
            len(answers) - answered,
        )
        found = [decode_held(answer, instance=own) for answer in answers.values()]
        return [member for member in found if member is not None]

    def _list_holders(self, instance: str) -> list[str]:
        """Return the holders of an instance's records, of its own zone if possible."""
        members = self._state.members
        zones = {name: member.zone for name, member in members.items()}
        own = self._state.settings
        zones[own.instance] = own.zone
        zone = zones.get(instance)
        neighbours = [name for name in zones if zones[name] == zone]
        holders = rank_holders(instance, neighbours)
        return holders or rank_holders(instance, zones)

    def _list_far_holders(self, instance: str) -> list[str]:
        """Return the holders of an instance's records in other zones than this one."""
        zone = self._state.settings.zone
        members = self._state.members
        far = [name for name, member in members.items() if member.zone != zone]
        return rank_holders(instance, far)[:MAX_FAR_HOLDERS]

    def find_newest(self, instance: str) -> Member | None:
        """Return the latest state of a node's upstream that is known here."""
        found = (self._held.get(instance), self._state.members.get(instance))
        return find_newest(found)

    def _encode_newest(self, instance: str) -> bytes:
        newest = self.find_newest(instance)
        return b"" if newest is None else encode_member(newest)

    async def _ask(
        self,
        names: list[str],
        data: bytes,
        *,
        is_enough: Callable[[set[str]], bool],
        timeout_s: float,
        further_s: float = 0.0,
    ) -> dict[str, HeldRecord]:
        """Ask nodes until enough have answered, and for `further_s` then.

        The other questions go on, and so do the copies sent with them.
        """
        loop = asyncio.get_running_loop()
        ends_at = expires_at = loop.time() + timeout_s
        names_by_task = {self._start(name, data, expires_at): name for name in names}
        pending = set(names_by_task)
        answers: dict[str, HeldRecord] = {}
        had_enough = False
        while pending and (left_s := ends_at - loop.time()) > 0:
            done, pending = await asyncio.wait(
                pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                answer = task.result()
                if answer is not None:
                    answers[names_by_task[task]] = answer
            if not had_enough and is_enough(set(answers)):
                had_enough = True
                ends_at = min(ends_at, loop.time() + further_s)
        return answers

    def _start(
        self, name: str, data: bytes, expires_at: float
    ) -> asyncio.Task[HeldRecord | None]:
        task = asyncio.create_task(self._ask_node(name, data, expires_at))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
        return task

    async def _ask_node(
        self, name: str, data: bytes, expires_at: float
    ) -> HeldRecord | None:
        """Return the answer of a node, or None if there is none in time."""
        loop = asyncio.get_running_loop()
        own = self._state.settings.instance
        while (now := loop.time()) < expires_at:
            frame = HoldRecord(query=0, instance=own, data=data)
            member = self._state.members.get(name)
            if member is None:
                # It has no upstream, so no record names its address.
                return await self._receiver.ask(name, frame, expires_at=expires_at)
            try:
                peer = await self._links.get(member, expires_at=expires_at, now=now)
                left_s = max(0.0, expires_at - loop.time())
                answer = await peer.query(frame, timeout_s=left_s)
            except (PeerUnreachableError, PeerLostError) as error:
                log.debug("node %s not asked for a record: %s", name, error)
                await asyncio.sleep(RETRY_S)
                continue
            return answer if isinstance(answer, HeldRecord) else None
        return None


def decode_held(frame: HeldRecord, *, instance: str) -> Member | None:
    """Return the record of an instance in a frame, None if there is none.

    The sender may have meant the node that had this address before.
    """
    if not frame.data:
        return None
    match decode_member(frame.data):
        case Ok(member) if member.instance == instance:
            return member
        case Ok(member):
            log.warning("held record of %r skipped: wrong name", member.instance)
        case Err(reason):
            log.warning("held member record skipped: %s", reason)
    return None
