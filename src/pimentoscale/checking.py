"""Conversion of plain mappings, such as parsed TOML, to dataclasses.

Every fault in a document is reported, while `msgspec.convert` stops at the first.
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
    """A fault in a document: the key, the value seen there and what is allowed."""

    key: str
    seen: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key}: saw {self.seen}; allowed: {self.allowed}"


def convert_document(
    *, document: Mapping[str, Any], schema: type[T]
) -> Result[T, list[Fault]]:
    """Return the mapping as an instance of a dataclass, or every fault in it."""
    faults: list[Fault] = []
    _collect_faults(document, schema, "", faults)
    if faults:
        return Err(faults)
    return Ok(msgspec.convert(document, schema))


def _collect_faults(value: Any, schema: Any, key: str, faults: list[Fault]) -> None:
    plain_type = _unwrap_optional(schema)
    if dataclasses.is_dataclass(plain_type) and isinstance(plain_type, type):
        _collect_table_faults(value, plain_type, key, faults)
    elif get_origin(plain_type) is dict and isinstance(value, Mapping):
        for name, item in value.items():
            _collect_faults(
                item, get_args(plain_type)[1], _join(key, str(name)), faults
            )
    elif get_origin(plain_type) in (list, tuple) and isinstance(value, list):
        for index, item in enumerate(value):
            _collect_faults(item, get_args(plain_type)[0], f"{key}[{index}]", faults)
    else:
        _collect_value_faults(value, schema, key, faults)


def _collect_table_faults(
    value: Any, schema: type, key: str, faults: list[Fault]
) -> None:
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
            _collect_faults(value[name], hints[name], _join(key, name), faults)
        elif _is_required(field):
            allowed = "this key is required"
            faults.append(Fault(key=_join(key, name), seen="nothing", allowed=allowed))


def _collect_value_faults(
    value: Any, schema: Any, key: str, faults: list[Fault]
) -> None:
    try:
        msgspec.convert(value, schema)
    except msgspec.ValidationError as error:
        faults.append(Fault(key=key, seen=repr(value), allowed=str(error)))


def _is_required(field: "dataclasses.Field[Any]") -> bool:
    has_no_default = field.default is dataclasses.MISSING
    return has_no_default and field.default_factory is dataclasses.MISSING


def _unwrap_optional(schema: Any) -> Any:
    """Return `T` for an optional type `T | None`, and other types unchanged."""
    if get_origin(schema) in (Union, types.UnionType):
        classes = [item for item in get_args(schema) if item is not type(None)]
        if len(classes) == 1:
            return classes[0]
    return schema


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
