"""Patches: changes that an operator submits against a numbered version."""

import copy
import dataclasses
import itertools
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

# Tables of a configuration are nested three deep, and some values are lists.
MAX_PATCH_DEPTH = 16

TABLES: dict[str, type] = {"zones": Zone, "services": Service, "kinds": Kind}


@dataclass(slots=True, kw_only=True, frozen=True)
class Patch:
    """Keys to set and dotted keys to remove, against version `base`."""

    base: Count
    set: dict[str, Any] = field(default_factory=dict)
    remove: list[str] = field(default_factory=list)


@dataclass(slots=True, kw_only=True, frozen=True)
class _GlobalKeys:
    """The keys of a configuration outside the tables of named entries."""

    policy: Policy = field(default_factory=Policy)
    retry_bound: Count = Configuration().retry_bound


def read_patch(*, path: Path) -> Result[Patch, list[Fault]]:
    """Read a patch file in TOML."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        allowed = "a readable TOML file"
        return Err([Fault(key=str(path), seen=str(error), allowed=allowed)])
    return convert_document(document=document, schema=Patch)


def find_fault(changes: dict[str, Any]) -> str:
    """Return why the changes of a patch can't be applied, or an empty text.

    Every node must come to the same verdict, so the depth is limited here and not by
    the room on each node's stack.
    """
    level: list[Any] = [changes]
    for _ in range(MAX_PATCH_DEPTH):
        tables = [item for item in level if isinstance(item, dict)]
        lists = [item for item in level if not isinstance(item, dict)]
        if not all(isinstance(key, str) for table in tables for key in table):
            return "a key that is not text"
        values = itertools.chain(*(table.values() for table in tables), *lists)
        level = [item for item in values if isinstance(item, dict | list | tuple)]
    return f"more than {MAX_PATCH_DEPTH} levels" if level else ""


def apply_patch(
    *, configuration: Configuration, patch: Patch
) -> Result[Configuration, list[Fault]]:
    """Return the resulting configuration, or every fault in it.

    Entries that the patch does not change are reused without a copy, so the cost
    grows with the patch and not with the configuration.
    """
    faults: list[Fault] = []
    tables = {name: dict(getattr(configuration, name)) for name in TABLES}
    for key in patch.remove:
        faults.extend(_remove_entry(tables, key))
    for name in TABLES:
        changes = patch.set.get(name, {})
        faults.extend(_set_entries(tables[name], name, changes))
    keys = _set_global_keys(configuration, patch)
    if isinstance(keys, list):
        return Err([*faults, *keys])
    if faults:
        return Err(faults)
    result = Configuration(policy=keys.policy, retry_bound=keys.retry_bound, **tables)
    result_faults = _check_result(configuration, result, patch)
    return Err(result_faults) if result_faults else Ok(result)


def _check_result(
    before: Configuration, result: Configuration, patch: Patch
) -> list[Fault]:
    """Check the kinds that the patch may make invalid.

    A removal or a lower `retry_bound` may concern every kind; any other patch
    concerns only the kinds that it sets.
    """
    if patch.remove or result.retry_bound < before.retry_bound:
        return check_configuration(result)
    return check_kinds(result, patch.set.get("kinds", {}))


def _set_entries(entries: dict[str, Any], table: str, changes: Any) -> list[Fault]:
    if not isinstance(changes, Mapping):
        return [Fault(key=table, seen=repr(changes), allowed="a table")]
    faults: list[Fault] = []
    for name, change in changes.items():
        current = entries.get(name)
        document = msgspec.to_builtins(current) if current is not None else {}
        match convert_document(document=_merge(document, change), schema=TABLES[table]):
            case Ok(entry):
                entries[name] = entry
            case Err(entry_faults):
                faults.extend(
                    _prefix_key(f"{table}.{name}", fault) for fault in entry_faults
                )
    return faults


def _set_global_keys(
    configuration: Configuration, patch: Patch
) -> _GlobalKeys | list[Fault]:
    """Return the global keys with the patch's changes, or every fault in them."""
    changes = {key: value for key, value in patch.set.items() if key not in TABLES}
    keys = _GlobalKeys(
        policy=configuration.policy, retry_bound=configuration.retry_bound
    )
    if not changes:
        return keys
    document = _merge(msgspec.to_builtins(keys), changes)
    match convert_document(document=document, schema=_GlobalKeys):
        case Ok(result):
            return result
        case Err(faults):
            return faults


def _prefix_key(prefix: str, fault: Fault) -> Fault:
    key = f"{prefix}.{fault.key}" if fault.key else prefix
    return dataclasses.replace(fault, key=key)


def _merge(document: Any, changes: Any) -> Any:
    """Return a copy of a document with changes merged in, table by table."""
    if not isinstance(document, dict) or not isinstance(changes, Mapping):
        return copy.deepcopy(changes)
    merged = dict(document)
    for key, value in changes.items():
        merged[key] = _merge(document.get(key), value)
    return merged


def _remove_entry(tables: dict[str, dict[str, Any]], key: str) -> list[Fault]:
    """Remove the entry `table.name`; the name itself may contain dots."""
    table, _, name = key.partition(".")
    if name not in tables.get(table, {}):
        return [Fault(key=f"remove.{key}", seen=key, allowed="a key that is there")]
    del tables[table][name]
    return []
