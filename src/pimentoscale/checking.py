"""Checks of plain mappings (from TOML) against classes with slots.

Unlike a single conversion, every fault is reported, not just the first.
"""

import dataclasses
import types
from collections.abc import Mapping
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec
from result import Err, Ok, Result

T = TypeVar("T")


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One fault of a document: the key, the value seen and what is allowed."""

    key: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: saw {self.seen}; allowed: {self.allowed}"


def convert_document(
    *, document: Mapping[str, Any], schema: type[T]
) -> Result[T, list[Fault]]:
    """Convert a mapping to a dataclass, or list every fault in it."""
    faults: list[Fault] = []
    _collect(document, schema, "", faults)
    if faults:
        return Err(faults)
    return Ok(msgspec.convert(document, schema))


def _collect(value: Any, schema: Any, key: str, faults: list[Fault]) -> None:
    inner = _unwrap(schema)
    if dataclasses.is_dataclass(inner) and isinstance(inner, type):
        _collect_class(value, inner, key, faults)
    elif get_origin(inner) is dict and isinstance(value, Mapping):
        for name, item in value.items():
            _collect(item, get_args(inner)[1], _join(key, str(name)), faults)
    elif get_origin(inner) in (list, tuple) and isinstance(value, list):
        for index, item in enumerate(value):
            _collect(item, get_args(inner)[0], f"{key}[{index}]", faults)
    else:
        _collect_leaf(value, schema, key, faults)


def _collect_class(value: Any, schema: type, key: str, faults: list[Fault]) -> None:
    if not isinstance(value, Mapping):
        faults.append(Fault(key=key, seen=repr(value), allowed="a table"))
        return
    hints = get_type_hints(schema, include_extras=True)
    fields = {field.name: field for field in dataclasses.fields(schema)}
    for name in value:
        if name not in fields:
            allowed = "one of " + ", ".join(sorted(fields))
            seen = "an unknown key"
            faults.append(Fault(key=_join(key, str(name)), seen=seen, allowed=allowed))
    for name, field in fields.items():
        if name in value:
            _collect(value[name], hints[name], _join(key, name), faults)
        elif _is_required(field):
            allowed = "this key is required"
            faults.append(Fault(key=_join(key, name), seen="nothing", allowed=allowed))


def _collect_leaf(value: Any, schema: Any, key: str, faults: list[Fault]) -> None:
    try:
        msgspec.convert(value, schema)
    except msgspec.ValidationError as error:
        faults.append(Fault(key=key, seen=repr(value), allowed=str(error)))


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    no_value = field.default is dataclasses.MISSING
    return no_value and field.default_factory is dataclasses.MISSING


def _unwrap(schema: Any) -> Any:
    """Return the class behind an optional type; other types unchanged."""
    if get_origin(schema) in (Union, types.UnionType):
        classes = [item for item in get_args(schema) if item is not type(None)]
        if len(classes) == 1:
            return classes[0]
    return schema


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
