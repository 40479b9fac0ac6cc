"""Slots of an upstream and the tasks that wait for them."""

import asyncio
from typing import Protocol

from pimentoscale.admission.call_queue import Entry
from pimentoscale.admission.controller import Decision, Dequeued, Verdict
from pimentoscale.errors import CallError, ErrorKind


class SlotAdmission(Protocol):
    """Decides which calls get a slot."""

    def offer(self, entry: Entry, *, now: float) -> Decision:
        """Decide whether an arriving call starts, waits or is refused."""

    def withdraw(self, entry: Entry) -> bool:
        """Remove a waiting call; return False if it does not wait."""

    def release(self, entry: Entry, *, is_overload: bool, now: float) -> Dequeued:
        """End a running call and start the waiting calls that may follow."""

    def start_waiting(self, *, now: float) -> Dequeued:
        """Start the waiting calls for which there is a free slot."""


class Slot:
    """One call's claim to a slot of the upstream.

    `is_held` is true from the grant of the slot to its release.
    """

    __slots__ = ("entry", "grant", "is_held")

    def __init__(self, *, entry: Entry) -> None:
        self.entry = entry
        self.grant: asyncio.Future[CallError | None] | None = None
        self.is_held = False

    def transfer(self) -> "Slot":
        """Return a new claim that holds the slot instead of this one."""
        other = Slot(entry=self.entry)
        other.is_held, self.is_held = self.is_held, False
        return other


class SlotWaiters:
    """Suspends the tasks of queued calls until the admission grants or refuses a slot.

    A slot's future `grant` resolves to None if granted and to the error if refused.
    """

    __slots__ = ("_admission", "_waiting")

    def __init__(self, *, admission: SlotAdmission) -> None:
        self._admission = admission
        self._waiting: dict[int, Slot] = {}

    def offer(self, slot: Slot, *, now: float) -> Decision:
        """Request a slot; after a verdict of WAIT the caller must call `wait`."""
        decision = self._admission.offer(slot.entry, now=now)
        for refusal in decision.displaced:
            self._resolve(refusal.entry, refusal.error)
        if decision.verdict is Verdict.START:
            slot.is_held = True
        elif decision.verdict is Verdict.WAIT:
            slot.grant = asyncio.get_running_loop().create_future()
            self._waiting[id(slot.entry)] = slot
        return decision

    async def wait(self, slot: Slot) -> CallError | None:
        """Wait for the slot; return the error if it is not granted by the deadline."""
        assert slot.grant is not None
        loop = asyncio.get_running_loop()
        timer = loop.call_at(slot.entry.deadline, self._expire, slot)
        try:
            return await slot.grant
        except asyncio.CancelledError:
            self._admission.withdraw(slot.entry)
            raise
        finally:
            timer.cancel()
            self._waiting.pop(id(slot.entry), None)

    def release(self, slot: Slot, *, is_overload: bool, now: float) -> None:
        """Release the slot and start the waiting calls that may follow.

        Does nothing if the slot is not held, as after an earlier release.
        """
        if not slot.is_held:
            return
        slot.is_held = False
        dequeued = self._admission.release(slot.entry, is_overload=is_overload, now=now)
        self._resolve_dequeued(dequeued)

    def start_waiting(self, *, now: float) -> None:
        """Start the waiting calls that a raised limit admits."""
        self._resolve_dequeued(self._admission.start_waiting(now=now))

    def refuse(self, dequeued: Dequeued) -> None:
        """Refuse waiting calls that the admission has removed from its queue."""
        self._resolve_dequeued(dequeued)

    def _expire(self, slot: Slot) -> None:
        if self._admission.withdraw(slot.entry):
            self._resolve(slot.entry, CallError(kind=ErrorKind.DEADLINE_BEFORE_RUN))

    def _resolve_dequeued(self, dequeued: Dequeued) -> None:
        for refusal in dequeued.expired:
            self._resolve(refusal.entry, refusal.error)
        for entry in dequeued.started:
            self._resolve(entry, None)

    def _resolve(self, entry: Entry, error: CallError | None) -> None:
        slot = self._waiting[id(entry)]
        slot.is_held = error is None
        if slot.grant is not None and not slot.grant.done():
            slot.grant.set_result(error)
