"""Submission of patches by operators, and their status."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from pimentoscale.configuration import (
    Fold,
    Patch,
    PatchRecord,
    encode_record,
)
from pimentoscale.distribution.log_tasks import CONFIGURATION_TOPIC
from pimentoscale.node.state import get_wall_ms
from pimentoscale.store import RecordStore, StoreError

MAX_APPEND_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
UNKNOWN = "unknown"
PENDING = "pending"
IN_FORCE = "in_force"
REJECTED = "rejected"


@dataclass(slots=True, kw_only=True)
class PatchSubmission:
    """A patch as an operator submits it; the id makes a retry idempotent."""

    id: str
    base: int
    submitter: str
    message: str = ""
    set: dict[str, Any] = field(default_factory=dict)
    remove: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PatchStatus:
    """The status of a patch according to a node's replica."""

    id: str
    state: str
    version: int = 0
    reason: str = ""
    detail: str = ""
    missing: list[str] = field(default_factory=list)


async def submit_patch(store: RecordStore, submission: PatchSubmission) -> bool:
    """Append a patch; return False if all attempts failed.

    The log may then contain the patch all the same, once or several times; the fold
    applies only the first copy.
    """
    patch = Patch(base=submission.base, set=submission.set, remove=submission.remove)
    record = PatchRecord(
        id=submission.id,
        patch=patch,
        submitter=submission.submitter,
        message=submission.message,
        at_ms=get_wall_ms(),
    )
    for _ in range(MAX_APPEND_ATTEMPTS):
        try:
            await store.append(
                topic=CONFIGURATION_TOPIC, records=[encode_record(record)]
            )
        except StoreError:
            await asyncio.sleep(RETRY_DELAY_S)
        else:
            return True
    return False


def describe_patch(fold: Fold, patch: str) -> PatchStatus:
    """Return the status of a patch."""
    verdict = fold.find_verdict(patch=patch)
    if verdict is not None and verdict.rejection is None:
        return PatchStatus(id=patch, state=IN_FORCE, version=verdict.version)
    if verdict is not None and verdict.rejection is not None:
        reason = verdict.rejection.value
        return PatchStatus(
            id=patch, state=REJECTED, reason=reason, detail=verdict.detail
        )
    pending = fold.pending
    if pending is not None and pending.record.id == patch:
        return PatchStatus(id=patch, state=PENDING, missing=list(pending.missing))
    return PatchStatus(id=patch, state=UNKNOWN)
