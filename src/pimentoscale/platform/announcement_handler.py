"""The interface on which a target announces itself to the node beside it."""

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


def handle_announcement(
    target: LocalTarget, request: HttpRequest, now: float
) -> HttpResponse:
    """Hand an announcement to the target's registration and acknowledge it."""
    if request.method == b"PUT" and len(request.body) <= MAX_ANNOUNCEMENT_BYTES:
        match decode_announcement(path=request.path, body=request.body):
            case Err(reason):
                log.warning("announcement skipped: %s", reason)
                return HttpResponse(status=400, headers=_JSON, body=b"{}")
            case Ok(announcement):
                target.apply_announcement(announcement, now=now)
                return HttpResponse(status=200, headers=_JSON, body=b"{}")
    identity = decode_identity(request.path)
    if request.method == b"DELETE" and identity is not None:
        target.deregister(identity=identity, now=now)
        return HttpResponse(status=200, headers=_JSON, body=b"{}")
    return HttpResponse(status=404, headers=_JSON, body=b"{}")
