"""The HTTP handler for announcements of a target to the node beside it."""

from collections.abc import Awaitable, Callable

from result import Err, Ok

from pimentoscale.forwarding.target import LocalTarget
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.logs import get_logger
from pimentoscale.platform.announcement import (
    MAX_ANNOUNCEMENT_BYTES,
    decode_announcement,
    decode_identity,
)

_JSON = [(b"content-type", b"application/json")]

log = get_logger("announcements")


async def handle_announcement(
    target: LocalTarget,
    request: HttpRequest,
    now: float,
    secure_departure: Callable[[], Awaitable[bool]],
) -> HttpResponse:
    """Apply an announcement, or the end of a registration, and acknowledge it.

    A departure is acknowledged only if `secure_departure` returns True.
    """
    if request.method == b"PUT" and len(request.body) <= MAX_ANNOUNCEMENT_BYTES:
        match decode_announcement(path=request.path, body=bytes(request.body)):
            case Err(reason):
                log.warning("rejected announcement of a target: %s", reason)
                return HttpResponse(status=400, headers=_JSON, body=b"{}")
            case Ok(announcement):
                target.apply_announcement(announcement, now=now)
                if announcement.is_draining:
                    return _acknowledge(
                        announcement.identity, is_secured=await secure_departure()
                    )
                return HttpResponse(status=200, headers=_JSON, body=b"{}")
    identity = decode_identity(request.path)
    if request.method == b"DELETE" and identity is not None:
        target.deregister(identity=identity, now=now)
        return _acknowledge(identity, is_secured=await secure_departure())
    return HttpResponse(status=404, headers=_JSON, body=b"{}")


def _acknowledge(identity: str, *, is_secured: bool) -> HttpResponse:
    """Return the answer to a departure; one that is not kept may not be promised."""
    log.info("departure of %s: acknowledged=%s", identity, is_secured)
    return HttpResponse(status=200 if is_secured else 503, headers=_JSON, body=b"{}")
