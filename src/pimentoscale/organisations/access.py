"""Decides whether a request may run by its key.

Designed for callers that are not known to be well-behaved: no key, a wrong one, or one
that was taken away. It runs before anything else is spent on the request.
"""

from dataclasses import dataclass

from pimentoscale.errors import CallError, ErrorKind
from pimentoscale.organisations.confirmation import Confirmation, get_usable_age_s
from pimentoscale.organisations.registry import Organisation, OrganisationRegistry

# When a caller should return whose key can't be checked now, in milliseconds: about the
# time in which a node finds another source of its records.
UNCONFIRMED_RETRY_MS = 700


@dataclass(slots=True, kw_only=True, frozen=True)
class Access:
    """The organisation of an accepted request, or why it is refused.

    `organisation` is None without an error on a public route and for calls of targets.
    """

    organisation: Organisation | None = None
    error: CallError | None = None


ANONYMOUS = Access()


class AccessPolicy:
    """Accepts or refuses requests by their keys.

    `revocation_s` is the time after which a withdrawn key must not be accepted by any
    node, in touch with the store or not; None if nodes may go on with what they know.
    """

    __slots__ = ("confirmation", "revocation_s")

    def __init__(self, *, revocation_s: float | None) -> None:
        self.revocation_s = revocation_s
        self.confirmation = Confirmation()

    def is_confirmed(self, *, now: float) -> bool:
        """Return whether keys can be checked; `now` is on the boot-time clock."""
        if self.revocation_s is None:
            return True
        max_age_s = get_usable_age_s(self.revocation_s)
        return self.confirmation.is_within(max_age_s, now=now)

    def check(
        self,
        registry: OrganisationRegistry,
        key: bytes | None,
        *,
        is_public: bool,
        is_call: bool,
        now: float,
    ) -> Access:
        """Return the organisation of a request, or why it is refused.

        `is_call` tells that the local target may have sent it while it runs another
        request; such calls carry no key. `now` is on the boot-time clock.
        """
        if key is None and (is_public or is_call):
            return ANONYMOUS
        if key is None:
            return self._refuse(ErrorKind.KEY_MISSING)
        if not self.is_confirmed(now=now):
            if is_public:
                return ANONYMOUS
            age_s = self.confirmation.get_age_s(now=now)
            detail = "never" if age_s is None else f"{age_s:.2f} s ago"
            return self._refuse(
                ErrorKind.KEY_UNCONFIRMED, f"the store confirmed the version {detail}"
            )
        organisation = registry.find(key)
        if organisation is not None:
            return Access(organisation=organisation)
        if is_public:
            return ANONYMOUS
        if registry.may_hold(key):
            return self._refuse(ErrorKind.KEY_UNCONFIRMED, "the key can't be read")
        return self._refuse(ErrorKind.KEY_UNKNOWN)

    def _refuse(self, kind: ErrorKind, detail: str = "") -> Access:
        retry_after_ms = UNCONFIRMED_RETRY_MS
        if kind is not ErrorKind.KEY_UNCONFIRMED:
            retry_after_ms = 0
        error = CallError(kind=kind, detail=detail, retry_after_ms=retry_after_ms)
        return Access(error=error)
