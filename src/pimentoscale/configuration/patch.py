"""Patches: what an operator submits against a numbered version."""

import copy
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from pimentoscale.checking import Fault, check_document
from pimentoscale.configuration.model import Configuration, Count
from pimentoscale.configuration.rules import check_configuration


@dataclass(slots=True, kw_only=True, frozen=True)
class Patch:
    """Keys to set and dotted keys to remove, against version `base`."""

    base: Count
    set: dict[str, Any] = field(default_factory=dict)
    remove: list[str] = field(default_factory=list)


def read_patch(*, path: Path) -> Result[Patch, list[Fault]]:
    """Read a patch file in TOML."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        allowed = "a readable TOML file"
        return Err([Fault(key=str(path), seen=str(error), allowed=allowed)])
    return check_document(document=document, shape=Patch)


def apply_patch(
    *, configuration: Configuration, patch: Patch
) -> Result[Configuration, list[Fault]]:
    """Return the whole resulting configuration, or every fault in it."""
    document = msgspec.to_builtins(configuration)
    faults = [fault for key in patch.remove for fault in _remove(document, key)]
    if faults:
        return Err(faults)
    _merge(document, patch.set)
    match check_document(document=document, shape=Configuration):
        case Ok(result):
            found = check_configuration(result)
            return Err(found) if found else Ok(result)
        case Err(found):
            return Err(found)


def _merge(document: dict[str, Any], changes: dict[str, Any]) -> None:
    for key, value in changes.items():
        current = document.get(key)
        if isinstance(current, dict) and isinstance(value, dict):
            _merge(current, value)
        else:
            document[key] = copy.deepcopy(value)


def _remove(document: dict[str, Any], key: str) -> list[Fault]:
    """Remove `table.name`; the name may have dots of its own."""
    table, _, name = key.partition(".")
    entries = document.get(table)
    if not isinstance(entries, dict) or name not in entries:
        return [Fault(key=f"remove.{key}", seen=key, allowed="a key that is there")]
    del entries[name]
    return []
