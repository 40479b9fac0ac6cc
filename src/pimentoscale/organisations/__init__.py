"""Organisations: the keys of their callers, and what may be done with a key."""

from pimentoscale.organisations.access import (
    ANONYMOUS,
    Access,
    AccessPolicy,
)
from pimentoscale.organisations.confirmation import (
    Confirmation,
    get_read_wait_s,
    get_usable_age_s,
)
from pimentoscale.organisations.registry import (
    MAX_RANK,
    Organisation,
    OrganisationRegistry,
    RegistryBuilder,
)

__all__ = [
    "ANONYMOUS",
    "MAX_RANK",
    "Access",
    "AccessPolicy",
    "Confirmation",
    "Organisation",
    "OrganisationRegistry",
    "RegistryBuilder",
    "get_read_wait_s",
    "get_usable_age_s",
]
