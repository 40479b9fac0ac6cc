"""HTTP handlers for operators, metrics scrapers and the node's own upstream."""

from dataclasses import dataclass
from typing import Any

import msgspec
from litestar import Response, get, post
from litestar.datastructures import State
from litestar.params import FromPath, FromQuery, JSONBody

from pimentoscale.distribution.patches import PatchSubmission
from pimentoscale.timeline import Event


@dataclass(slots=True, kw_only=True)
class TargetStatus:
    """One target, with its state and load as seen by this node."""

    instance: str
    zone: str
    service: str
    state: str
    out: int
    in_flight: int
    limit: int
    queue_ms: int
    on_probation: bool


@dataclass(slots=True, kw_only=True)
class MemberStatus:
    """One member, as recorded by this node."""

    instance: str
    zone: str
    service: str
    state: str
    incarnation: int
    http: str


@dataclass(slots=True, kw_only=True)
class NodeStatus:
    """The status of one node for operators."""

    instance: str
    zone: str
    service: str
    incarnation: int
    policy: str
    version: int
    offset: int
    is_confirmed: bool
    is_draining: bool
    is_root: bool
    parent: str
    children: list[str]
    in_progress: int
    queued: int
    running: int
    limit: int
    retries: int
    refusals: dict[str, int]
    members: list[MemberStatus]
    targets: list[TargetStatus]


@dataclass(slots=True, kw_only=True)
class UpstreamAnnouncement:
    """The state that an upstream reports to its node."""

    state: str


@dataclass(slots=True, kw_only=True)
class Health:
    """Whether the node can serve calls."""

    status: str
    version: int


@get("/healthz")
async def get_health(state: State) -> Response[bytes]:
    """Answer 200 once a configuration is in force."""
    node = state.node
    is_ready = node.state.version > 0
    health = Health(status="ok" if is_ready else "starting", version=node.state.version)
    return _send_json(health, 200 if is_ready else 503)


@get("/metrics")
async def get_metrics(state: State) -> Response[bytes]:
    """Return all metrics in the Prometheus text format."""
    data = state.node.render_metrics()
    return Response(data, media_type="text/plain; version=0.0.4")


@get("/control/status")
async def get_status(state: State) -> Response[bytes]:
    """Return the node's status."""
    return _send_json(state.node.describe())


@get("/control/configuration")
async def get_configuration(state: State) -> Response[bytes]:
    """Return the configuration in force and its version."""
    return _send_json(state.node.describe_configuration())


@get("/control/timeline")
async def get_timeline(
    state: State,
    since: FromQuery[int] = 0,
    request_id: FromQuery[str] = "",
    kind: FromQuery[str] = "",
) -> Response[bytes]:
    """Return the events of the timeline that match."""
    events: list[Event] = list(
        state.node.state.timeline.select(since=since, request=request_id, kind=kind)
    )
    return _send_json(events)


@post("/control/drain", status_code=202)
async def post_drain(state: State) -> Response[bytes]:
    """Drain the node: admit no new work and stop when running work has ended."""
    state.node.drain()
    return _send_json(state.node.describe(), 202)


@post("/control/upstream", status_code=200)
async def post_upstream(
    state: State, data: JSONBody[UpstreamAnnouncement]
) -> Response[bytes]:
    """Record the upstream's report that it is serving or draining."""
    state.node.handle_upstream_state(data.state)
    return _send_json(Health(status=data.state, version=state.node.state.version))


@post("/control/patches", status_code=202)
async def post_patch(state: State, data: JSONBody[PatchSubmission]) -> Response[bytes]:
    """Append an operator's patch to the log."""
    is_appended = await state.node.submit_patch(data)
    status = state.node.describe_patch(data.id)
    return _send_json(status, 202 if is_appended else 504)


@get("/control/patches/{patch:str}")
async def get_patch(patch: FromPath[str], state: State) -> Response[bytes]:
    """Return the state of a patch."""
    return _send_json(state.node.describe_patch(patch))


CONTROL_HANDLERS = [
    post_patch,
    get_patch,
    get_health,
    get_metrics,
    get_status,
    get_configuration,
    get_timeline,
    post_drain,
    post_upstream,
]


def _send_json(item: Any, status: int = 200) -> Response[bytes]:
    data = msgspec.json.encode(item)
    return Response(data, status_code=status, media_type="application/json")
