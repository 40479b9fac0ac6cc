"""Explains where a request would go now, and why, without sending it.

It asks the decisions of this node with its present state and changes none of it.
"""

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok

from pimentoscale.decoding import decode
from pimentoscale.forwarding.origins import OriginTracker
from pimentoscale.forwarding.placement import NodeView, Placement, PlacementRequest
from pimentoscale.forwarding.state import SidecarState
from pimentoscale.forwarding.views import NodeViews
from pimentoscale.http import HttpRequest, HttpResponse
from pimentoscale.limits import QuotaGate
from pimentoscale.organisations import ANONYMOUS, Access
from pimentoscale.routes import Route

Text = Annotated[str, Meta(max_length=8192)]


class Question(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The request to explain; `key` is that of its organisation, None without one."""

    host: Text
    path: Text
    key: Text | None = None


class Candidate(msgspec.Struct, kw_only=True):
    """A node beside a target of the service, as this node sees it.

    Times are in milliseconds. `load_age_ms` is -1 if no load was reported; `left_out`
    says why the node would not be chosen, and is empty if it may be.
    """

    instance: str
    zone: str
    limit: int
    in_flight: float
    load_age_ms: int
    queue_ms: float
    expected_ms: float
    penalties: list[str]
    left_out: str


class Explanation(msgspec.Struct, kw_only=True):
    """What would happen to a request at this node now.

    `verdict` is `accepted` or the kind of error that its sender would get.
    `admitted_share` is the share of the organisation's requests that its quota lets
    through; `is_alone` tells that the node does not hear from the quota's home.
    """

    node: str
    version: int
    verdict: str
    detail: str = ""
    route: str = ""
    idempotent: bool = False
    is_call_route: bool = False
    services: dict[str, int] = msgspec.field(default_factory=dict)
    organisation: str = ""
    rate_limit: float = 0.0
    admitted_share: float = 1.0
    is_alone: bool = False
    candidates: dict[str, list[Candidate]] = msgspec.field(default_factory=dict)


_DECODER = msgspec.json.Decoder(Question)


class Explainer:
    """Answers questions about requests at one node."""

    __slots__ = ("_gate", "_origins", "_placement", "_state", "_views")

    def __init__(
        self,
        *,
        state: SidecarState,
        views: NodeViews,
        placement: Placement,
        gate: QuotaGate,
        origins: OriginTracker,
    ) -> None:
        self._state = state
        self._views = views
        self._placement = placement
        self._gate = gate
        self._origins = origins

    def answer(
        self, request: HttpRequest, *, now: float, boot_time: float
    ) -> HttpResponse:
        """Return the explanation as JSON, or status 400 and what is wrong."""
        match decode(_DECODER, bytes(request.body)):
            case Err(reason):
                text = f"the question can't be read: {reason}\n"
                return HttpResponse(status=400, body=text.encode())
            case Ok(question):
                explanation = self.explain(question, now=now, boot_time=boot_time)
        headers = [(b"content-type", b"application/json")]
        body = msgspec.json.encode(explanation)
        return HttpResponse(status=200, headers=headers, body=body)

    def explain(
        self, question: Question, *, now: float, boot_time: float
    ) -> Explanation:
        """Return what would happen to a request now."""
        table = self._state.table
        explanation = Explanation(
            node=self._state.settings.instance,
            version=self._state.version,
            verdict="no_configuration",
        )
        if table is None:
            return explanation
        host = question.host.lower().partition(":")[0]
        path = question.path.partition("?")[0]
        route = table.find(host=host, path=path)
        if route is None:
            explanation.verdict = "no_route"
            return explanation
        explanation.route = route.name
        explanation.idempotent = route.idempotent
        explanation.is_call_route = self._origins.is_inner(route.name)
        explanation.services = {item.service: item.weight for item in route.shares}
        if not route.is_readable:
            explanation.verdict = "route_unreadable"
            return explanation
        access = self._check_access(question, route, boot_time)
        self._add_access(explanation, access, now)
        explanation.candidates = {
            service: self._list_candidates(service, route, now=now)
            for service in explanation.services
        }
        return explanation

    def _check_access(
        self, question: Question, route: Route, boot_time: float
    ) -> Access:
        table = self._state.table
        if table is None or table.organisations is None:
            return ANONYMOUS
        key = question.key.encode() if question.key is not None else None
        return self._state.access.check(
            table.organisations,
            key,
            is_public=route.is_public,
            is_call=False,
            now=boot_time,
        )

    def _add_access(self, explanation: Explanation, access: Access, now: float) -> None:
        explanation.verdict = "accepted"
        if access.error is not None:
            explanation.verdict = access.error.kind.value
            explanation.detail = access.error.detail
        organisation = access.organisation
        if organisation is not None:
            explanation.organisation = organisation.name
            explanation.rate_limit = organisation.rate_limit
            explanation.admitted_share = self._gate.get_share(organisation.name)
            explanation.is_alone = self._gate.is_alone(now=now)

    def _list_candidates(
        self, service: str, route: Route, *, now: float
    ) -> list[Candidate]:
        """Return all nodes of a service, the best ones first."""
        request = PlacementRequest(
            route=route.name,
            zone=self._state.settings.zone,
            objective_s=min(route.objective_s, route.timeout_s),
            is_inner=self._origins.is_inner(route.name),
        )
        found = [
            self._describe(view, request, now=now) for view in self._views.list(service)
        ]
        return sorted(found, key=_get_order)

    def _describe(
        self, view: NodeView, request: PlacementRequest, *, now: float
    ) -> Candidate:
        age_ms = -1 if view.load is None else int(1000 * (now - view.load_at))
        penalties = {
            "another zone": view.member.zone != request.zone,
            "the node stops": view.is_draining,
            "the target has just shed a request": now < view.shedding_until,
        }
        left_out = ""
        if now < view.ejected_until:
            left_out = f"ejected for {view.ejected_until - now:.2f} s more"
        elif not request.is_inner and now < view.refused_until.get(request.route, 0):
            left_out = "it has just refused this route"
        return Candidate(
            instance=view.member.instance,
            zone=view.member.zone,
            limit=view.get_limit(),
            in_flight=round(view.estimate_in_flight(now=now), 1),
            load_age_ms=age_ms,
            queue_ms=round(view.estimate_queue_ms(now=now), 1),
            expected_ms=round(self._placement.estimate_ms(view, request, now=now), 1),
            penalties=[name for name, applies in penalties.items() if applies],
            left_out=left_out,
        )


def _get_order(candidate: Candidate) -> tuple[bool, float]:
    return bool(candidate.left_out), candidate.expected_ms
