"""The nodes to which this node can send requests, by the service of their targets."""

from pimentoscale.forwarding.placement import NodeView
from pimentoscale.membership import Member


class NodeViews:
    """Keeps a view of each member, including this node."""

    __slots__ = ("_by_service", "_own_instance", "_views")

    def __init__(self, *, own_instance: str) -> None:
        self._own_instance = own_instance
        self._views: dict[str, NodeView] = {}
        self._by_service: dict[str, list[NodeView]] = {}

    def list(self, service: str) -> list[NodeView]:
        """Return the nodes beside targets of a service."""
        return self._by_service.get(service, [])

    def find(self, instance: str) -> NodeView | None:
        """Return the view of a node, or None if it is no member."""
        return self._views.get(instance)

    def put(self, member: Member) -> None:
        """Add or update a member; a new incarnation starts with an empty view."""
        view = self._views.get(member.instance)
        if view is not None and view.member.incarnation == member.incarnation:
            view.member = member
        else:
            is_own = member.instance == self._own_instance
            self._views[member.instance] = NodeView(member=member, is_own=is_own)
        self._update_index()

    def remove(self, instance: str) -> None:
        """Remove the view of a member that has left, if there is one."""
        if self._views.pop(instance, None) is not None:
            self._update_index()

    def _update_index(self) -> None:
        self._by_service = {}
        for view in self._views.values():
            self._by_service.setdefault(view.member.service, []).append(view)
