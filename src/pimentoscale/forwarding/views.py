"""The nodes to which this node can send requests, by the service of their targets."""

import random
from collections import OrderedDict

from pimentoscale.forwarding.exchange import StatedCondition
from pimentoscale.forwarding.placement import NodeView
from pimentoscale.membership import Member

# Starts of upstreams that have left which a node remembers: more than end in the time
# for which a node may still announce one as ready.
MAX_LEFT = 4096


class NodeViews:
    """Keeps a view of each member, including this node.

    An upstream that has stated that it leaves is not used again, whatever its node
    announces: that node may have been restarted.
    """

    __slots__ = ("_by_service", "_is_stale", "_left", "_own_instance", "_rng", "_views")

    def __init__(self, *, own_instance: str, rng: random.Random) -> None:
        self._own_instance = own_instance
        self._rng = rng
        self._views: dict[str, NodeView] = {}
        self._by_service: dict[str, list[NodeView]] = {}
        self._left: OrderedDict[str, None] = OrderedDict()
        self._is_stale = False

    def list(self, service: str) -> list[NodeView]:
        """Return the nodes beside targets of a service, in random order."""
        if self._is_stale:
            self._update_index()
        return self._by_service.get(service, [])

    def find(self, instance: str) -> NodeView | None:
        """Return the view of a node, or None if it is no member."""
        return self._views.get(instance)

    def put(self, member: Member) -> None:
        """Add or update a member; a new incarnation starts with an empty view.

        What its upstream has stated is kept as long as that is the same one.
        """
        if member.upstream in self._left:
            self.remove(member.instance)
            return
        view = self._views.get(member.instance)
        stated = view.stated if view is not None else None
        if stated is not None and stated.upstream != member.upstream:
            stated = None
        if view is not None and view.member.incarnation == member.incarnation:
            view.member = member
            view.stated = stated
        else:
            is_own = member.instance == self._own_instance
            self._views[member.instance] = NodeView(
                member=member, is_own=is_own, stated=stated
            )
        self._is_stale = True

    def record_stated(
        self, view: NodeView, stated: StatedCondition | None, *, has_answered: bool
    ) -> None:
        """Store what an upstream states; its own answer without a limit ends one."""
        if stated is None:
            if has_answered:
                view.stated = None
            return
        is_current = view.member.upstream in ("", stated.upstream)
        if is_current:
            view.stated = stated
        if stated.is_leaving and stated.upstream not in self._left:
            self._left[stated.upstream] = None
            if len(self._left) > MAX_LEFT:
                self._left.popitem(last=False)
            if is_current:
                self.remove(view.member.instance)

    def remove(self, instance: str) -> None:
        """Remove the view of a member that has left, if there is one."""
        if self._views.pop(instance, None) is not None:
            self._is_stale = True

    def _update_index(self) -> None:
        # Built when it is next used: at a start all members come at once.
        self._is_stale = False
        self._by_service = {}
        for view in self._views.values():
            self._by_service.setdefault(view.member.service, []).append(view)
        for views in self._by_service.values():
            self._rng.shuffle(views)
