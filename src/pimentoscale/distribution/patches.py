"""Submission of patches by operators, and what became of them."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from pimentoscale.configuration import (
    Fold,
    Patch,
    PatchRecord,
    encode_record,
)
from pimentoscale.distribution.log_tasks import CONFIGURATION_STREAM
from pimentoscale.node.state import get_wall_ms
from pimentoscale.store import RecordStore, StoreError

APPEND_TRIES = 5
RETRY_S = 0.2
UNKNOWN = "unknown"
PENDING = "pending"
IN_FORCE = "in_force"
REJECTED = "rejected"


@dataclass(slots=True, kw_only=True)
class PatchSubmission:
    """A patch as an operator sends it; the id makes sending it again harmless."""

    id: str
    base: int
    submitter: str
    message: str = ""
    set: dict[str, Any] = field(default_factory=dict)
    remove: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True)
class PatchStatus:
    """What became of a patch, as far as a node knows."""

    id: str
    state: str
    version: int = 0
    reason: str = ""
    detail: str = ""
    missing: list[str] = field(default_factory=list)


async def submit_patch(client: RecordStore, submission: PatchSubmission) -> bool:
    """Append a patch; return False if the log gave no answer in several tries.

    The patch may then be in the log all the same, once or more than once; the
    fold takes the first only.
    """
    patch = Patch(base=submission.base, set=submission.set, remove=submission.remove)
    record = PatchRecord(
        id=submission.id,
        patch=patch,
        submitter=submission.submitter,
        message=submission.message,
        at_ms=get_wall_ms(),
    )
    for _ in range(APPEND_TRIES):
        try:
            await client.append(
                topic=CONFIGURATION_STREAM, records=[encode_record(record)]
            )
        except StoreError:
            await asyncio.sleep(RETRY_S)
        else:
            return True
    return False


def describe_patch(fold: Fold, patch: str) -> PatchStatus:
    """Return what became of a patch."""
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
