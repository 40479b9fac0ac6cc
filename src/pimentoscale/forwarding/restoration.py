"""What the store lost when it returned from an older copy is written again.

Each node writes its own record (`registry.py`). A departure stays known to the nodes
that heard of it. A few of them write it if its own node does not, which may have ended.
"""

import asyncio
import random

from result import Ok

from pimentoscale.forwarding.copies import RecordCopies, rank_holders
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.logs import get_logger
from pimentoscale.membership import (
    Member,
    MemberState,
    decode_member,
    encode_member,
)
from pimentoscale.store import RecordStore, StoreError, TopicReplica

# How many nodes may write a departure for its own node, and the time that this one and
# then each of them has for it.
MAX_WRITERS = 5
TURN_S = 1.0
# Share of the writes that the store takes which may be spent on lost records.
WRITES_SHARE = 0.25

log = get_logger("members")


class Restoration:
    """Keeps later states of upstreams than the store tells, and has them written.

    `replica` is that of the members' topic.
    """

    __slots__ = ("_copies", "_rng", "_state", "_store", "_tasks", "replica")

    def __init__(
        self,
        *,
        state: SidecarState,
        store: RecordStore,
        copies: RecordCopies,
        rng: random.Random,
    ) -> None:
        self._state = state
        self._store = store
        self._copies = copies
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.replica: TopicReplica | None = None

    def choose_delay_s(self) -> float:
        """Return when to write an own lost record, as all nodes may have to."""
        settings = self._state.settings
        writes_per_s = WRITES_SHARE * settings.store_writes_per_s
        return self._rng.uniform(0, len(self._state.members) / writes_per_s)

    def knows_later(self, member: Member) -> bool:
        """Return whether a later state is known than that in a record of a new era."""
        known = self._copies.find_newest(member.instance)
        if known is None or known.upstream_order <= member.upstream_order:
            return False
        log.info(
            "member %s: state=%s of %s from the store is older than that known, "
            "state=%s of %s",
            member.instance,
            member.state.value,
            member.upstream,
            known.state.value,
            known.upstream,
        )
        if known.state is not MemberState.ALIVE:
            self._schedule(known)
        return True

    def close(self) -> None:
        """Cancel what is not written yet."""
        for task in self._tasks.values():
            task.cancel()

    def _schedule(self, known: Member) -> None:
        own = self._state.settings.instance
        writers = rank_holders(known.instance, {own, *self._state.members})
        if own not in writers[:MAX_WRITERS] or known.instance in self._tasks:
            return
        delay_s = TURN_S * (1 + writers.index(own) + self._rng.uniform(0, 0.5))
        task = asyncio.create_task(self._write_later(known, delay_s=delay_s))
        self._tasks[known.instance] = task
        task.add_done_callback(lambda _: self._tasks.pop(known.instance, None))

    async def _write_later(self, known: Member, *, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self._is_stored(known):
            return
        assert self.replica is not None
        try:
            await self._store.put(
                topic=self.replica.topic,
                key=known.instance.encode(),
                value=encode_member(known),
            )
        except StoreError as error:
            log.info("record of %s not written again: %s", known.instance, error)
            return
        log.info(
            "record of %s written again for its node: state=%s of %s",
            known.instance,
            known.state.value,
            known.upstream,
        )

    def _is_stored(self, known: Member) -> bool:
        """Return whether the store has this state of an upstream or a later one."""
        record = self.replica.find(known.instance.encode()) if self.replica else None
        match decode_member(record.value) if record is not None else None:
            case Ok(member):
                return member.upstream_order >= known.upstream_order
            case _:
                return False
