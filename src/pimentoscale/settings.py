"""Settings of a node and their TOML file."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta
from result import Err, Result

from pimentoscale.checking import Fault, convert_document
from pimentoscale.decoding import MAX_INTEGER

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,63}$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
# An IPv4 address, or an IPv6 address whose last part may be an IPv4 address. Other text
# would be looked up as a name.
_IPV4 = r"[0-9]{1,3}(\.[0-9]{1,3}){3}"
_IPV6 = rf"(?=.*:)[0-9a-fA-F:]{{2,39}}({_IPV4})?"
Host = Annotated[str, Meta(pattern=rf"^({_IPV4}|{_IPV6})\Z")]
PositiveInt = Annotated[int, Meta(ge=1, le=MAX_INTEGER)]
Secret = Annotated[str, Meta(min_length=16)]


@dataclass(slots=True, kw_only=True, frozen=True)
class Address:
    """An IP address and a TCP port."""

    host: Host
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(slots=True, kw_only=True, frozen=True)
class UpstreamSettings:
    """The upstream on the instance of the node.

    `slots` is the number of calls that it can run at once, `connections` the maximum
    number of connections that the node opens to it.
    """

    service: Name
    host: Host
    port: Port
    slots: PositiveInt
    connections: PositiveInt


@dataclass(slots=True, kw_only=True, frozen=True)
class LogSettings:
    """Format and lowest level of the log lines."""

    format: Literal["text", "json"] = "text"
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(slots=True, kw_only=True, frozen=True)
class NodeSettings:
    """All settings of one node process."""

    instance: Name
    zone: Name
    http: Address
    stream: Address
    platform: Address
    upstream: UpstreamSettings
    ticket_secret: Secret
    policy: Name = "adaptive"
    stop_grace_s: PositiveInt = 120
    log_retention_s: PositiveInt = 3600
    max_body_bytes: PositiveInt = 64 * 1024 * 1024
    first_peers: list[Address] = field(default_factory=list)
    addresses: dict[str, Address] = field(default_factory=dict)
    log: LogSettings = field(default_factory=LogSettings)


def read_node_settings(*, path: Path) -> Result[NodeSettings, list[Fault]]:
    """Return the settings in a TOML file, or every fault in it.

    A file that can't be read or parsed is a single fault; its key is the path.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        allowed = "a readable TOML file"
        return Err([Fault(key=str(path), seen=str(error), allowed=allowed)])
    return convert_document(document=document, schema=NodeSettings)
