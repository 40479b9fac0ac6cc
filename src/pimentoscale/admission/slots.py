"""Waiting for a slot: the tasks behind an admission's decisions."""

import asyncio
from typing import Protocol

from pimentoscale.admission.controller import Decision, Freed, Verdict
from pimentoscale.admission.waiting import Entry
from pimentoscale.errors import CallError, ErrorKind


class SlotAdmission(Protocol):
    """Decides who gets a slot."""

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide on an arrival."""

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting call; return False if it does not wait."""

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Freed:
        """End a call that ran and let the next ones start."""

    def start_waiting(self, *, now: float) -> Freed:
        """Start the waiting calls for which there is room."""


class Slot:
    """One call's place in admission control."""

    __slots__ = ("entry", "granted", "is_held")

    def __init__(self, *, entry: Entry) -> None:
        self.entry = entry
        self.granted: asyncio.Future[CallError | None] | None = None
        self.is_held = False

    def transfer(self) -> "Slot":
        """Return a place that holds the slot instead of this one."""
        other = Slot(entry=self.entry)
        other.is_held, self.is_held = self.is_held, False
        return other


class SlotWaiters:
    """Lets the tasks of calls wait until their admission grants or refuses a slot."""

    __slots__ = ("_admission", "_waiting")

    def __init__(self, *, admission: SlotAdmission) -> None:
        self._admission = admission
        self._waiting: dict[int, Slot] = {}

    def offer(self, slot: Slot, *, now: float) -> Decision:
        """Ask for a slot; one that is to wait must be given to `wait` next."""
        decision = self._admission.offer(slot.entry, now=now)
        for refusal in decision.displaced:
            self._grant(refusal.entry, refusal.error)
        if decision.verdict is Verdict.START:
            slot.is_held = True
        elif decision.verdict is Verdict.WAIT:
            slot.granted = asyncio.get_running_loop().create_future()
            self._waiting[id(slot.entry)] = slot
        return decision

    async def wait(self, slot: Slot) -> CallError | None:
        """Wait for the slot; return the error if there is none by the deadline."""
        assert slot.granted is not None
        loop = asyncio.get_running_loop()
        timer = loop.call_at(slot.entry.deadline, self._expire, slot)
        try:
            return await slot.granted
        except asyncio.CancelledError:
            self._admission.withdraw(slot.entry)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(id(slot.entry), None)

    def release(self, slot: Slot, *, is_overload: bool, now: float) -> None:
        """Give the slot back, once, and start the calls that may follow."""
        if not slot.is_held:
            return
        slot.is_held = False
        freed = self._admission.release(slot.entry, is_overload=is_overload, now=now)
        self._let_start(freed)

    def start_waiting(self, *, now: float) -> None:
        """Start waiting calls for which a rising limit has made room."""
        self._let_start(self._admission.start_waiting(now=now))

    def _expire(self, slot: Slot) -> None:
        if self._admission.withdraw(slot.entry):
            self._grant(slot.entry, CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN))

    def _let_start(self, freed: Freed) -> None:
        for refusal in freed.expired:
            self._grant(refusal.entry, refusal.error)
        for entry in freed.started:
            self._grant(entry, None)

    def _grant(self, entry: Entry, error: CallError | None) -> None:
        slot = self._waiting[id(entry)]
        slot.is_held = error is None
        if slot.granted is not None and not slot.granted.done():
            slot.granted.set_result(error)
