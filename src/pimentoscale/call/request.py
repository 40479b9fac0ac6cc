"""The request of a call."""

from dataclasses import dataclass

from pimentoscale.call.answer import Header
from pimentoscale.call.body import Body


@dataclass(slots=True, kw_only=True)
class CallRequest:
    """The HTTP request that is forwarded to the upstream.

    `body_bytes` is the declared length, or -1 if the caller declared none.
    """

    method: str
    path: str
    headers: list[Header]
    body: Body
    body_bytes: int

    def with_body(self, data: bytes) -> "CallRequest":
        """Return a copy of the request with `data` as its complete body."""
        return CallRequest(
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=Body.of(data),
            body_bytes=len(data),
        )
