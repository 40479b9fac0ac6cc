"""The organisations of one version of the configuration, found by key."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# The rank of the most important organisations.
MAX_RANK = 1000


@dataclass(slots=True, kw_only=True, frozen=True)
class Organisation:
    """An organisation whose callers send requests.

    Requests of organisations of lower `importance` are refused first, whatever the
    importance of their routes. `rate_limit` is the number of requests a second that
    all nodes together admit, and `burst` how many may come at once beyond it; a rate of
    0 is no limit.
    """

    name: str
    importance: int
    rate_limit: float = 0.0
    burst: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class OrganisationRegistry:
    """Organisations by key and by name; `limited` are those with a limit.

    `ambiguous_keys` are those that several organisations hold, and `is_complete` is
    False if some organisation or key could not be read: then a key that is not found
    may be valid all the same.
    """

    by_key: dict[bytes, Organisation] = field(default_factory=dict)
    by_name: dict[str, Organisation] = field(default_factory=dict)
    limited: dict[str, Organisation] = field(default_factory=dict)
    ambiguous_keys: frozenset[bytes] = frozenset()
    is_complete: bool = True
    _ranks: dict[int, int] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        values = sorted({item.importance for item in self.by_name.values()})
        for index, value in enumerate(values, start=1):
            self._ranks[value] = MAX_RANK * index // len(values)

    def get_rank(self, organisation: Organisation | None) -> int:
        """Return the place of an organisation's importance among all, to `MAX_RANK`.

        It is 0 for a sender of no organisation.
        """
        if organisation is None:
            return 0
        return self._ranks[organisation.importance]

    def find(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, or None."""
        return self.by_key.get(key)

    def may_hold(self, key: bytes) -> bool:
        """Return whether a key that is not found may be valid."""
        return not self.is_complete or key in self.ambiguous_keys


class RegistryBuilder:
    """Collects the organisations of a version and the faults found in them."""

    __slots__ = ("_ambiguous", "_by_key", "_by_name", "_is_complete", "faults")

    def __init__(self) -> None:
        self._by_key: dict[bytes, Organisation] = {}
        self._by_name: dict[str, Organisation] = {}
        self._ambiguous: set[bytes] = set()
        self._is_complete = True
        self.faults: list[str] = []

    def add(self, organisation: Organisation, keys: Iterable[str]) -> None:
        """Add an organisation; a key without characters is left out."""
        if organisation.name in self._by_name:
            self.add_unreadable(f"organisation {organisation.name!r} occurs twice")
            return
        self._by_name[organisation.name] = organisation
        for text in keys:
            key = text.encode()
            holder = self._by_key.setdefault(key, organisation)
            if not key:
                del self._by_key[key]
                self.faults.append(f"organisation {organisation.name!r}: empty key")
            elif holder is not organisation:
                self._ambiguous.add(key)
                self.faults.append(
                    f"organisations {holder.name!r} and {organisation.name!r} "
                    "have a key in common, which is refused"
                )

    def add_unreadable(self, fault: str) -> None:
        """Note an organisation that can't be used."""
        self._is_complete = False
        self.faults.append(fault)

    def build(self) -> OrganisationRegistry:
        """Return the organisations that can be used."""
        for key in self._ambiguous:
            del self._by_key[key]
        return OrganisationRegistry(
            by_key=self._by_key,
            by_name=self._by_name,
            limited={
                name: organisation
                for name, organisation in self._by_name.items()
                if organisation.rate_limit > 0
            },
            ambiguous_keys=frozenset(self._ambiguous),
            is_complete=self._is_complete,
        )
