"""The nodes that this node can send to, by the service of their targets."""

from pimentoscale.forwarding.placement import NodeView
from pimentoscale.membership import Member


class NodeViews:
    """Keeps a view of each member, own node included."""

    __slots__ = ("_by_service", "_own", "_views")

    def __init__(self, *, own: str) -> None:
        self._own = own
        self._views: dict[str, NodeView] = {}
        self._by_service: dict[str, list[NodeView]] = {}

    def list(self, service: str) -> list[NodeView]:
        """Return the nodes beside targets of a service."""
        return self._by_service.get(service, [])

    def find(self, instance: str) -> NodeView | None:
        """Return the view of a node."""
        return self._views.get(instance)

    def put(self, member: Member) -> None:
        """Take in a member; another incarnation starts with an empty view."""
        known = self._views.get(member.instance)
        if known is not None and known.member.incarnation == member.incarnation:
            known.member = member
        else:
            is_own = member.instance == self._own
            self._views[member.instance] = NodeView(member=member, is_own=is_own)
        self._index()

    def remove(self, instance: str) -> None:
        """Drop a member that is gone."""
        if self._views.pop(instance, None) is not None:
            self._index()

    def _index(self) -> None:
        self._by_service = {}
        for view in self._views.values():
            self._by_service.setdefault(view.member.service, []).append(view)
