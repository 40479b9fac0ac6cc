"""Decoding of the settings file that the platform writes for a sidecar."""

from collections.abc import Mapping
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from pimentoscale.checking import Fault
from pimentoscale.forwarding.settings import SidecarSettings
from pimentoscale.settings import Address, Host

SETTINGS_VARIABLE = "PIMENTOSCALE_NODE_FILE"
DEFAULT_PATH = "/etc/pimentoscale/boot.conf"

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Writes that a store is taken to allow if the settings do not tell.
DEFAULT_WRITES_PER_S = 100.0

Values = Mapping[str, str]


def read_sidecar_settings(*, path: Path) -> Result[SidecarSettings, list[Fault]]:
    """Return the settings in a file, or all faults.

    Each fault has the key, the value seen and the values that are allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        allowed = "a readable settings file"
        return Err([Fault(key=str(path), seen=str(error), allowed=allowed)])
    return decode_settings(text=text)


def decode_settings(*, text: str) -> Result[SidecarSettings, list[Fault]]:
    """Return the settings in lines of the form `key=value`; ignore unknown keys."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.partition("=")
        if separator:
            values[key.strip()] = value.strip()
    reader = _Reader(values=values)
    first_port, last_port = reader.read_ports("internal_port_range")
    ip_address = reader.read_host("ip_address")
    bounds = _decode_bounds(values.get("bounds", ""))
    is_strict = _has_flag(values.get("bounds", ""), "strict_revocation")
    settings = SidecarSettings(
        instance=reader.read_text("node"),
        zone=reader.read_text("zone"),
        # The application's clients and the application itself send requests here.
        outgoing=reader.read_address("listen_addresses.outbound"),
        readiness=reader.read_address("listen_addresses.ready"),
        # The application announces itself here.
        announcements=reader.read_address("listen_addresses.control"),
        stream=Address(host=ip_address, port=first_port),
        metrics=Address(host=ip_address, port=last_port),
        upstream=reader.read_address("application_address"),
        upstream_service=values.get("service", ""),
        store=reader.read_address("platform.address"),
        store_writes_per_s=_decode_rate(values.get("platform.writes_per_s", "")),
        stop_grace_s=bounds.get("grace_s", 6.0),
        retry_ratio=bounds.get("budget_ratio", 0.2),
        retry_window_s=bounds.get("budget_window_s", 10.0),
        retry_slack=bounds.get("budget_slack", 10.0),
        revocation_s=bounds.get("revoke_s") if is_strict else None,
        rate_window_s=bounds.get("quota_window_s", 0.0),
        rate_overage=bounds.get("quota_overage", 0.0),
        rate_slack=bounds.get("quota_slack", 0.0),
        memory_mb=_decode_count(values.get("limits.memory_mb", "")),
        file_descriptors=_decode_count(values.get("limits.file_descriptors", "")),
    )
    if reader.faults:
        return Err(reader.faults)
    return Ok(settings)


class _Reader:
    """Reads typed values and collects faults."""

    __slots__ = ("_values", "faults")

    def __init__(self, *, values: Values) -> None:
        self._values = values
        self.faults: list[Fault] = []

    def read_text(self, key: str) -> str:
        """Return a required text."""
        value = self._values.get(key, "")
        if not value:
            self._add_fault(key, value, "this key is required")
        return value

    def read_address(self, key: str) -> Address:
        """Return a required IP address and port."""
        value = self._values.get(key, "")
        host, _, port = value.rpartition(":")
        try:
            address: Address = msgspec.convert(
                {"host": host, "port": int(port)}, Address
            )
        except (ValueError, msgspec.ValidationError):
            self._add_fault(key, value, "an IP address and a port, as 10.1.0.8:8300")
            return Address(host="0.0.0.0", port=1)
        return address

    def read_host(self, key: str) -> str:
        """Return a required IP address."""
        value = self._values.get(key, "")
        try:
            return msgspec.convert(value, Host)
        except msgspec.ValidationError:
            self._add_fault(key, value, "an IP address, as 10.1.0.8")
            return "0.0.0.0"

    def read_ports(self, key: str) -> tuple[int, int]:
        """Return the first and the last port of a required range."""
        first, _, last = self._values.get(key, "").partition(",")
        if _is_port(first) and _is_port(last) and int(first) < int(last):
            return int(first), int(last)
        self._add_fault(key, self._values.get(key, ""), "two ports, as 7620,7635")
        return 1, 2

    def _add_fault(self, key: str, seen: str, allowed: str) -> None:
        self.faults.append(Fault(key=key, seen=repr(seen), allowed=allowed))


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS
    return is_number and 1 <= int(text) <= MAX_PORT


def _decode_rate(text: str) -> float:
    """Return a number of calls a second, or a low one if none is stated."""
    rate = _decode_bounds(f"rate={text}").get("rate", DEFAULT_WRITES_PER_S)
    return max(1.0, rate)


def _decode_count(text: str) -> int:
    """Return a whole number, 0 if none is stated."""
    return int(_decode_bounds(f"count={text}").get("count", 0.0))


def _has_flag(text: str, name: str) -> bool:
    """Return whether a flag is set among the bounds."""
    flags = dict(item.partition("=")[::2] for item in text.split(","))
    return flags.get(name, "").strip() == "true"


def _decode_bounds(text: str) -> dict[str, float]:
    """Return the numeric bounds; ignore the others, which a sidecar does not use."""
    bounds: dict[str, float] = {}
    for item in text.split(","):
        name, _, value = item.partition("=")
        try:
            number = float(value)
        except ValueError:
            continue
        if 0 <= number < float("inf"):
            bounds[name.strip()] = number
    return bounds
