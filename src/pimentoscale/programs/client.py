"""What the operator's command asks of nodes, over HTTP."""

import sys
from typing import Any

import httpx
import msgspec

from pimentoscale.timeline import Event

TIMEOUT_S = 5.0
EXIT_UNREACHABLE = 7


class NodeClient:
    """Talks to one node's control handlers; an unreachable node ends the program."""

    def __init__(self, *, address: str) -> None:
        self._address = address
        self._client = httpx.Client(base_url=f"http://{address}", timeout=TIMEOUT_S)

    def get(self, path: str, **query: str | int) -> Any:
        """Return the decoded answer of a GET."""
        return self._decode(self._send("GET", path, params=query))

    def post(self, path: str, content: object = None) -> Any:
        """Return the decoded answer of a POST."""
        data = msgspec.json.encode(content)
        return self._decode(self._send("POST", path, content=data))

    def get_events(self, *, request: str, kind: str, since: int) -> list[Event]:
        """Return the node's events that match."""
        answer = self._send(
            "GET",
            "/control/timeline",
            params={"request_id": request, "kind": kind, "since": since},
        )
        return msgspec.json.decode(answer.content, type=list[Event])

    def _send(self, method: str, path: str, **options: Any) -> httpx.Response:
        headers = {"content-type": "application/json"}
        try:
            return self._client.request(method, path, headers=headers, **options)
        except httpx.HTTPError as error:
            print(f"{self._address} is not reachable: {error}", file=sys.stderr)
            sys.exit(EXIT_UNREACHABLE)

    def _decode(self, answer: httpx.Response) -> Any:
        if answer.status_code >= httpx.codes.BAD_REQUEST:
            print(f"{self._address}: {answer.text}", file=sys.stderr)
            sys.exit(EXIT_UNREACHABLE)
        return answer.json()


def find_events(
    node: str, *, request: str, kind: str, instance: str, since: int
) -> tuple[list[list[Event]], list[str]]:
    """Return the events of all members, and the members that gave no answer."""
    members = NodeClient(address=node).get("/control/status")["members"]
    streams: list[list[Event]] = []
    silent: list[str] = []
    for member in members:
        if instance and member["instance"] != instance:
            continue
        try:
            client = NodeClient(address=member["http"])
            events = client.get_events(request=request, kind=kind, since=since)
            streams.append(events)
        except SystemExit:
            silent.append(member["instance"])
    return streams, silent
