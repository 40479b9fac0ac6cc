"""How long ago the store confirmed the configuration that a node holds.

Designed for a key that is taken away while this node, or the one from which it gets its
records, is cut off, paused or turned away by the store. Nobody can tell such a node of
the new version, so it stops accepting keys by the age of its own confirmation, early
enough that no request runs that was sent after the bound.

All times are on the boot-time clock, which goes on while the machine is suspended.
"""

# Share of the bound on a withdrawn key's use at which a node stops accepting keys. The
# rest covers the clocks of other machines, and changes that the store has acknowledged
# before its waiting reads see them.
USABLE_SHARE = 0.8
# Share of that bound for which a read of the configuration may wait at the store: most
# of the usable age is left if the store falls silent then.
READ_WAIT_SHARE = 0.2


def get_usable_age_s(revocation_s: float) -> float:
    """Return the age of a confirmation up to which keys are accepted."""
    return revocation_s * USABLE_SHARE


def get_read_wait_s(revocation_s: float) -> float:
    """Return how long a read of the configuration may wait at the store."""
    return revocation_s * READ_WAIT_SHARE


class Confirmation:
    """The newest moment at which the store held nothing that this node lacks."""

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: float | None = None

    def record(self, at: float) -> None:
        """Note that everything the store held at a moment is in force here."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def get_age_s(self, *, now: float) -> float | None:
        """Return the age of the confirmation in seconds, None if there is none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_within(self, max_age_s: float, *, now: float) -> bool:
        """Return whether there is a confirmation of at most this age."""
        age_s = self.get_age_s(now=now)
        return age_s is not None and age_s <= max_age_s
