"""HTTP client of the control interface of nodes, for the operator's command."""

import sys
from typing import Any

import httpx
import msgspec

from pimentoscale.timeline import Event

TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 7


class NodeClient:
    """Sends requests to the control interface of one node.

    If the node is unreachable, or answers `get` or `post` with an error, the reason is
    printed to standard error and `SystemExit` is raised.
    """

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._client = httpx.Client(base_url=f"http://{address}", timeout=TIMEOUT_S)

    def get(self, path: str, **query: str | int) -> Any:
        """Return the decoded body of the response to a GET request."""
        return self._decode(self._send("GET", path, params=query))

    def post(self, path: str, content: object = None) -> Any:
        """Return the decoded body of the response to a POST of `content` as JSON."""
        data = msgspec.json.encode(content)
        return self._decode(self._send("POST", path, content=data))

    def get_events(self, *, request: str, kind: str, since: int) -> list[Event]:
        """Return the node's matching events after the timestamp `since`."""
        response = self._send(
            "GET",
            "/control/timeline",
            params={"request_id": request, "kind": kind, "since": since},
        )
        return msgspec.json.decode(response.content, type=list[Event])

    def _send(self, method: str, path: str, **options: Any) -> httpx.Response:
        headers = {"content-type": "application/json"}
        try:
            return self._client.request(method, path, headers=headers, **options)
        except httpx.HTTPError as error:
            print(f"{self._address} is not reachable: {error}", file=sys.stderr)
            sys.exit(EXIT_UNREACHABLE)

    def _decode(self, response: httpx.Response) -> Any:
        if response.status_code >= httpx.codes.BAD_REQUEST:
            print(f"error from {self._address}: {response.text}", file=sys.stderr)
            sys.exit(EXIT_UNREACHABLE)
        return response.json()


def fetch_events(
    node: str, *, request: str, kind: str, instance: str, since: int
) -> tuple[list[list[Event]], list[str]]:
    """Return each member's events, and the instances that could not be queried.

    `node` is the address of the node that lists the members.
    """
    members = NodeClient(address=node).get("/control/status")["members"]
    streams: list[list[Event]] = []
    unreachable: list[str] = []
    for member in members:
        if instance and member["instance"] != instance:
            continue
        try:
            client = NodeClient(address=member["http"])
            events = client.get_events(request=request, kind=kind, since=since)
            streams.append(events)
        except SystemExit:
            unreachable.append(member["instance"])
    return streams, unreachable
