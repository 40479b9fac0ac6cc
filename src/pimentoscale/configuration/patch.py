"""Patches: what an operator submits against a numbered version."""

import copy
import dataclasses
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from pimentoscale.checking import Fault, convert_document
from pimentoscale.configuration.model import (
    Configuration,
    Count,
    Kind,
    Policy,
    Service,
    Zone,
)
from pimentoscale.configuration.rules import check_configuration, check_kinds

TABLES: dict[str, type] = {"zones": Zone, "services": Service, "kinds": Kind}


@dataclass(slots=True, kw_only=True, frozen=True)
class Patch:
    """Keys to set and dotted keys to remove, against version `base`."""

    base: Count
    set: dict[str, Any] = field(default_factory=dict)
    remove: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class _Head:
    """The keys of a configuration that are not tables of entries."""

    policy: Policy = field(default_factory=Policy)
    retry_bound: Count = Configuration().retry_bound


def read_patch(*, path: Path) -> Result[Patch, list[Fault]]:
    """Read a patch file in TOML."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        allowed = "a readable TOML file"
        return Err([Fault(key=str(path), seen=str(error), allowed=allowed)])
    return convert_document(document=document, schema=Patch)


def apply_patch(
    *, configuration: Configuration, patch: Patch
) -> Result[Configuration, list[Fault]]:
    """Return the whole resulting configuration, or every fault in it.

    Entries that the patch leaves alone are taken over as they are, so the cost is
    that of the change and not of the configuration.
    """
    faults: list[Fault] = []
    tables = {name: dict(getattr(configuration, name)) for name in TABLES}
    for key in patch.remove:
        faults.extend(_remove(tables, key))
    for name in TABLES:
        changes = patch.set.get(name, {})
        faults.extend(_set_entries(tables[name], name, changes))
    head = _set_head(configuration, patch)
    if isinstance(head, list):
        return Err([*faults, *head])
    if faults:
        return Err(faults)
    result = Configuration(policy=head.policy, retry_bound=head.retry_bound, **tables)
    found = _check_result(configuration, result, patch)
    return Err(found) if found else Ok(result)


def _check_result(
    before: Configuration, result: Configuration, patch: Patch
) -> list[Fault]:
    """Check all kinds if the patch may concern any, else those it sets."""
    if patch.remove or result.retry_bound < before.retry_bound:
        return check_configuration(result)
    return check_kinds(result, patch.set.get("kinds", {}))


def _set_entries(entries: dict[str, Any], table: str, changes: Any) -> list[Fault]:
    if not isinstance(changes, Mapping):
        return [Fault(key=table, seen=repr(changes), allowed="a table")]
    faults: list[Fault] = []
    for name, change in changes.items():
        known = entries.get(name)
        document = msgspec.to_builtins(known) if known is not None else {}
        match convert_document(document=_merge(document, change), schema=TABLES[table]):
            case Ok(entry):
                entries[name] = entry
            case Err(found):
                faults.extend(_prefix(f"{table}.{name}", fault) for fault in found)
    return faults


def _set_head(configuration: Configuration, patch: Patch) -> _Head | list[Fault]:
    """Return the policy and the bound, or every fault in the rest of the patch."""
    changes = {key: item for key, item in patch.set.items() if key not in TABLES}
    head = _Head(policy=configuration.policy, retry_bound=configuration.retry_bound)
    if not changes:
        return head
    document = _merge(msgspec.to_builtins(head), changes)
    match convert_document(document=document, schema=_Head):
        case Ok(result):
            return result
        case Err(faults):
            return faults


def _prefix(key: str, fault: Fault) -> Fault:
    full = f"{key}.{fault.key}" if fault.key else key
    return dataclasses.replace(fault, key=full)


def _merge(document: Any, changes: Any) -> Any:
    """Return a document with changes, table by table."""
    if not isinstance(document, dict) or not isinstance(changes, Mapping):
        return copy.deepcopy(changes)
    merged = dict(document)
    for key, value in changes.items():
        merged[key] = _merge(document.get(key), value)
    return merged


def _remove(tables: dict[str, dict[str, Any]], key: str) -> list[Fault]:
    """Remove `table.name`; the name may have dots of its own."""
    table, _, name = key.partition(".")
    if name not in tables.get(table, {}):
        return [Fault(key=f"remove.{key}", seen=key, allowed="a key that is there")]
    del tables[table][name]
    return []
