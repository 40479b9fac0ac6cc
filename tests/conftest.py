"""Shared fixtures, and the deselection of known failures."""

import functools
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import settings

from pimentoscale.call import CallContext, RetryBudget
from pimentoscale.configuration import Configuration, Kind, Service, Zone
from pimentoscale.ticket import NodeIdentity, Ticket, TicketIssuer

# Processor time of one example of a property test. Hypothesis measures the time of the
# clock, in which other processes may run.
EXAMPLE_TIMEOUT_S = 0.2
settings.register_profile("processor_time", deadline=None)
settings.load_profile("processor_time")

ROOT = Path(__file__).parents[1]
SECRET = "a secret for tests only"


def _read_known_red() -> list[str]:
    """Return the test ids of KNOWN-RED.txt: the first field of each entry."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line[:1] not in ("#", "")]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the tests that KNOWN-RED.txt lists."""
    known_red = set(_read_known_red())
    red = [item for item in items if item.nodeid in known_red]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item.nodeid not in known_red]


def pytest_itemcollected(item: pytest.Item) -> None:
    """Limit the processor time of the examples of a property test."""
    handle = getattr(getattr(item, "obj", None), "hypothesis", None)
    if handle is not None and not hasattr(handle.inner_test, "__wrapped__"):
        handle.inner_test = _limit_processor_time(handle.inner_test)


def _limit_processor_time(test: Callable[..., Any]) -> Callable[..., Any]:
    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> Any:
        started = time.process_time()
        result = test(*args, **kwargs)
        spent_s = time.process_time() - started
        assert spent_s <= EXAMPLE_TIMEOUT_S, f"the example took {spent_s:.3f} s"
        return result

    return run


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the deselected tests."""
    for name in _read_known_red():
        terminalreporter.write_line(f"known red: {name}")


@pytest.fixture
def rng() -> random.Random:
    return random.Random(1)


@pytest.fixture
def issuer() -> TicketIssuer:
    return TicketIssuer(secret=SECRET)


@pytest.fixture
def home() -> NodeIdentity:
    return NodeIdentity(instance="bookings-0", incarnation=1)


@pytest.fixture
def witness() -> NodeIdentity:
    return NodeIdentity(instance="returns-0", incarnation=1)


@pytest.fixture
def ticket(issuer: TicketIssuer, home: NodeIdentity, witness: NodeIdentity) -> Ticket:
    return issuer.issue(
        request="r-1",
        caller="director",
        kind="booking.create",
        home=home,
        witness=witness,
        now_ms=1_000,
    )


@pytest.fixture
def context() -> CallContext:
    return CallContext(
        request="r-1",
        caller="director",
        kind="booking.create",
        deadline=100.0,
        budget=RetryBudget(retries=4),
        depth=0,
        work_ms=0,
        version=1,
    )


@pytest.fixture
def configuration() -> Configuration:
    return Configuration(
        zones={"ab-calgary": Zone(), "sk-regina": Zone()},
        services={"catalogue": Service(), "bookings": Service()},
        kinds={
            "catalogue.check": Kind(
                service="catalogue", importance=60, idempotent=True, retries=2
            ),
            "booking.create": Kind(
                service="bookings",
                importance=90,
                idempotent=False,
                retries=2,
                calls=["catalogue.check"],
            ),
        },
    )
