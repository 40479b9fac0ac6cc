"""How zones divide the limit of an organisation by their demand.

Designed for demand that moves from zone to zone, and for zones that are cut off from
each other while it does. Each zone states its demand to the others and takes its part
of the sum. It counts a rise of its own demand only once the others have confirmed that
they know of it, and a fall at once; so what a zone counts for itself is never above
what any other counts for it, and the parts never add up to more than the whole, however
late messages are and whichever are lost. A zone that is cut off keeps its part.
"""

from dataclasses import dataclass, field

# The least part of a limit that a zone counts as its demand, for all others together:
# demand that comes to an idle zone is served in part until the others know of it.
FLOOR_PART = 0.05
# Statements that are kept one by one until they are confirmed; older ones are merged.
MAX_UNCONFIRMED = 8

Demands = dict[str, float]
# The incarnation of a home, and a number that rises with each of its statements.
StatementNumber = tuple[int, int]
NOTHING_HEARD: StatementNumber = (0, 0)


@dataclass(slots=True, kw_only=True)
class _OtherZone:
    # `sent` holds the last confirmed statement and all later ones, by number.
    heard: Demands | None = None
    heard_from: StatementNumber = NOTHING_HEARD
    sent: list[tuple[int, Demands]] = field(default_factory=list)
    is_confirmed: bool = False


class ZoneShares:
    """What this zone and the others have stated, and the part that follows from it.

    Until each of the others has confirmed a statement, the parts are taken to be even.
    """

    __slots__ = ("_incarnation", "_others", "_serial")

    def __init__(self, *, incarnation: int) -> None:
        self._others: dict[str, _OtherZone] = {}
        self._incarnation = incarnation
        self._serial = 0

    def set_zones(self, zones: set[str]) -> None:
        """Set which other zones there are."""
        for zone in set(self._others) - zones:
            del self._others[zone]
        for zone in zones:
            self._others.setdefault(zone, _OtherZone())

    @property
    def zones(self) -> int:
        """Return how many zones there are, with this one."""
        return 1 + len(self._others)

    def state(self, demands: Demands) -> StatementNumber:
        """Note a statement to all other zones; return its number."""
        self._serial += 1
        for other in self._others.values():
            other.sent.append((self._serial, demands))
            if len(other.sent) > MAX_UNCONFIRMED:
                _merge_oldest(other.sent)
        return self._incarnation, self._serial

    def get_heard(self, zone: str) -> StatementNumber:
        """Return the number of the last statement heard from a zone."""
        other = self._others.get(zone)
        return other.heard_from if other is not None else NOTHING_HEARD

    def record_statement(
        self,
        zone: str,
        demands: Demands,
        *,
        number: StatementNumber,
        confirmed: StatementNumber,
    ) -> None:
        """Note what a zone states, and which statement of this one it confirms."""
        other = self._others.get(zone)
        if other is None:
            return
        incarnation, serial = other.heard_from
        if number[0] != incarnation or number[1] > serial:
            other.heard = demands
            other.heard_from = number
        if confirmed[0] != self._incarnation:
            return
        while other.sent and other.sent[0][0] < confirmed[1]:
            if len(other.sent) == 1 or other.sent[1][0] > confirmed[1]:
                break
            del other.sent[0]
        if other.sent and other.sent[0][0] <= confirmed[1]:
            other.is_confirmed = True

    def get_share(self, name: str, *, rate: float) -> float:
        """Return this zone's part of an organisation's limit, from 0 to 1."""
        if not self._others:
            return 1.0
        floor = rate * FLOOR_PART / len(self._others)
        own = None
        total = 0.0
        for other in self._others.values():
            if other.heard is None or not other.is_confirmed:
                return 1.0 / self.zones
            known = min(max(floor, demands.get(name, 0.0)) for _, demands in other.sent)
            own = known if own is None else min(own, known)
            total += max(floor, other.heard.get(name, 0.0))
        assert own is not None
        return own / (own + total)


def _merge_oldest(sent: list[tuple[int, Demands]]) -> None:
    """Replace the two oldest statements by the least demands of both."""
    (serial, first), (_, second) = sent[0], sent[1]
    names = first.keys() & second.keys()
    sent[:2] = [(serial, {name: min(first[name], second[name]) for name in names})]
