"""Checks of a configuration across its keys."""

from collections.abc import Iterable, Iterator

from pimentoscale.checking import Fault
from pimentoscale.configuration.model import Configuration, Kind


def check_configuration(configuration: Configuration) -> list[Fault]:
    """Return every fault of a configuration; an empty list if it is valid."""
    return check_kinds(configuration, configuration.kinds)


def check_kinds(configuration: Configuration, names: Iterable[str]) -> list[Fault]:
    """Return the faults of the named kinds, and of the zones.

    Checking only the changed kinds is enough if the others had no fault before and
    nothing that they refer to was removed.
    """
    faults: list[Fault] = []
    if not configuration.zones:
        faults.append(Fault(key="zones", seen="none", allowed="at least one zone"))
    names = list(names)
    for name in names:
        faults.extend(_check_kind(configuration, name, configuration.kinds[name]))
    faults.extend(_find_cycles(configuration, names))
    return faults


def _check_kind(configuration: Configuration, name: str, kind: Kind) -> Iterator[Fault]:
    key = f"kinds.{name}"
    if kind.service not in configuration.services:
        allowed = "a declared service"
        yield Fault(key=f"{key}.service", seen=repr(kind.service), allowed=allowed)
    if kind.retries > configuration.retry_bound:
        allowed = f"at most retry_bound = {configuration.retry_bound}"
        yield Fault(key=f"{key}.retries", seen=str(kind.retries), allowed=allowed)
    for called in kind.calls:
        yield from _check_call(configuration, key, kind, called)


def _check_call(
    configuration: Configuration, key: str, kind: Kind, called: str
) -> Iterator[Fault]:
    target = configuration.kinds.get(called)
    if target is None:
        yield Fault(key=f"{key}.calls", seen=repr(called), allowed="a declared kind")
    elif kind.idempotent and not target.idempotent:
        allowed = "an idempotent kind, since this kind may be run again"
        yield Fault(key=f"{key}.calls", seen=repr(called), allowed=allowed)


def _find_cycles(configuration: Configuration, names: Iterable[str]) -> Iterator[Fault]:
    finished: set[str] = set()
    for start in names:
        path = _find_cycle_from(configuration, start, finished)
        if path:
            seen = " -> ".join(path)
            key = f"kinds.{path[0]}.calls"
            yield Fault(key=key, seen=seen, allowed="calls without a cycle")
            return


def _find_cycle_from(
    configuration: Configuration, start: str, finished: set[str]
) -> list[str]:
    """Return a cycle reachable from `start`, or an empty list.

    The search is depth-first; an entry of the stack is a kind to enter, or to leave
    once the kinds that it calls are finished.
    """
    path: list[str] = []
    stack: list[tuple[str, bool]] = [(start, False)]
    while stack:
        name, is_leaving = stack.pop()
        if is_leaving:
            path.pop()
            finished.add(name)
            continue
        if name in path:
            return [*path[path.index(name) :], name]
        kind = configuration.kinds.get(name)
        if name in finished or kind is None:
            continue
        path.append(name)
        stack.append((name, True))
        stack.extend((called, False) for called in kind.calls)
    return []
