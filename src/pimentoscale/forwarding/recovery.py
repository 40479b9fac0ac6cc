"""Finds out what the former process of a node acknowledged about its upstream.

Announcements of the upstream from before may still arrive, so it is not used until this
is known.
"""

import asyncio

from pimentoscale.forwarding.copies import (
    RecordCopies,
    count_answers,
    decode_held,
    find_newest,
)
from pimentoscale.logs import get_logger
from pimentoscale.membership import Member
from pimentoscale.stream import HeldRecord, Hello

# How long a starting node waits for the other nodes that hold its record. Those that
# have ended do not answer.
ANSWERS_TIMEOUT_S = 1.0
# The same while the store is down, for nodes that open a stream to it: they try again
# after at most two seconds.
NOTICES_TIMEOUT_S = 2.5

log = get_logger("members")


class Recovery:
    """The newest record of this node from before its start.

    It comes from the store and from the nodes that hold it. While the store can't be
    read, this node knows no others; it waits for those that open a stream to it.
    """

    __slots__ = (
        "_changed",
        "_copies",
        "_has_failed",
        "_holders",
        "_informants",
        "_instance",
        "_is_loaded",
        "newest",
    )

    def __init__(self, *, instance: str, copies: RecordCopies) -> None:
        self._instance = instance
        self._copies = copies
        self._changed = asyncio.Event()
        self._is_loaded = False
        self._has_failed = False
        self._informants: set[str] = set()
        self._holders = 0
        self.newest: Member | None = None

    def add_record(self, record: Member | None) -> None:
        """Take a record of this node into account."""
        self.newest = find_newest((self.newest, record))

    def record_loaded(self) -> None:
        """Note that the members have been read from the store."""
        self._is_loaded = True
        self._changed.set()

    def record_failure(self) -> None:
        """Note that a call to the store has failed."""
        self._has_failed = True
        self._changed.set()

    def handle_notice(self, remote: Hello, frame: HeldRecord) -> None:
        """Handle what another node holds of this one."""
        record = decode_held(frame, instance=self._instance)
        self.add_record(record)
        if record is not None and frame.holders > 0:
            self._informants.add(remote.instance)
            self._holders = max(self._holders, frame.holders)
        self._changed.set()

    async def run(self) -> Member | None:
        """Return the newest record, None if there is none, once that is known."""
        while not self._is_loaded and not self._may_use_notices():
            await self._wait_for_change()
        if not self._is_loaded:
            await self._await_notices()
        if self._is_loaded:
            for record in await self._copies.collect(timeout_s=ANSWERS_TIMEOUT_S):
                self.add_record(record)
        log.info(
            "own record from before the start: loaded=%s informants=%d record=%s",
            self._is_loaded,
            len(self._informants),
            _describe(self.newest),
        )
        return self.newest

    def _may_use_notices(self) -> bool:
        return self._has_failed and bool(self._informants)

    async def _await_notices(self) -> None:
        """Wait for all holders for a while, and then for enough of them.

        Return as well once the store can be read after all.
        """
        try:
            async with asyncio.timeout(NOTICES_TIMEOUT_S):
                while not self._is_loaded and len(self._informants) < self._holders:
                    await self._wait_for_change()
        except TimeoutError:
            log.info(
                "own member record: informants=%d needed=%d holders=%d in %.1f s",
                len(self._informants),
                count_answers(self._holders),
                self._holders,
                NOTICES_TIMEOUT_S,
            )
        while not self._is_loaded:
            if len(self._informants) >= count_answers(self._holders):
                return
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()


def _describe(record: Member | None) -> str:
    if record is None:
        return "none"
    return f"{record.upstream}:{record.state.value}"
