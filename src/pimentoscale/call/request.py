"""One call as a node handles it."""

from dataclasses import dataclass

from pimentoscale.call.answer import Header
from pimentoscale.call.body import Body


@dataclass(slots=True, kw_only=True)
class CallRequest:
    """What is passed on to the upstream.

    `body_bytes` is the declared length, or -1 where the caller declared none.
    """

    method: str
    path: str
    headers: list[Header]
    body: Body
    body_bytes: int

    def repeat(self, data: bytes) -> "CallRequest":
        """Return the same request with a body that is whole."""
        return CallRequest(
            method=self.method,
            path=self.path,
            headers=self.headers,
            body=Body.of(data),
            body_bytes=len(data),
        )
