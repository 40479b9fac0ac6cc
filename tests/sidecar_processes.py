"""Sidecars as processes, whose memory is read as the platform reads it."""

import asyncio
import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from pimentoscale.platform.settings import SETTINGS_VARIABLE
from pimentoscale.settings import Address
from tests.addresses import find_address
from tests.sidecars import wait_until

SIDECAR = Path(__file__).parents[1] / "src" / "sidecar.py"
WATCH_PERIOD_S = 0.005


@dataclass(slots=True, kw_only=True)
class SidecarProcess:
    """A sidecar's process, its addresses and the most memory that was seen of it."""

    process: "subprocess.Popen[bytes]"
    outgoing: Address
    announcements: Address
    upstream: Address
    log: Path
    # All listeners by name, with `stream` and `metrics`.
    addresses: dict[str, Address] = field(default_factory=dict)
    peak_mb: float = 0.0

    async def watch_memory(self) -> None:
        """Record the peak of the memory until cancelled or until the process ends."""
        while self.process.poll() is None:
            self.peak_mb = max(self.peak_mb, read_memory_mb(self.process.pid))
            await asyncio.sleep(WATCH_PERIOD_S)


def read_memory_mb(pid: int) -> float:
    """Return the memory of a process, without the pages of mapped files."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


def write_settings(
    folder: Path, *, store: Address, service: str, settings: dict[str, str]
) -> dict[str, str]:
    """Return settings of a sidecar, which were written to a file in the folder."""
    addresses = {
        name: find_address() for name in ("outbound", "inbound", "ready", "control")
    }
    stream, metrics = find_address(), find_address()
    values = {
        "node": "m0",
        "zone": "z1",
        "ip_address": stream.host,
        "internal_port_range": f"{stream.port},{metrics.port}",
        "application_address": str(find_address()),
        "service": service,
        "platform.address": str(store),
        "bounds": "grace_s=6,budget_ratio=0.2,budget_window_s=10,budget_slack=50",
    }
    for name, address in addresses.items():
        values[f"listen_addresses.{name}"] = str(address)
    values.update(settings)
    text = "".join(f"{key}={value}\n" for key, value in values.items())
    (folder / "node.conf").write_text(text)
    return values


def read_address(text: str) -> Address:
    """Return the address in a text."""
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


def _read_addresses(values: dict[str, str]) -> dict[str, Address]:
    """Return the addresses of all listeners by name."""
    prefix = "listen_addresses."
    addresses = {
        key.removeprefix(prefix): read_address(value)
        for key, value in values.items()
        if key.startswith(prefix)
    }
    first, last = values["internal_port_range"].split(",")
    for name, port in (("stream", first), ("metrics", last)):
        addresses[name] = Address(host=values["ip_address"], port=int(port))
    return addresses


@asynccontextmanager
async def run_sidecar(
    folder: Path,
    *,
    store: Address,
    service: str,
    settings: dict[str, str] | None = None,
) -> AsyncIterator[SidecarProcess]:
    """Run a sidecar until the end of the context, and watch its memory."""
    values = write_settings(
        folder, store=store, service=service, settings=settings or {}
    )
    environment = {**os.environ, SETTINGS_VARIABLE: str(folder / "node.conf")}
    log = folder / "node.log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, str(SIDECAR)],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
        )
    node = SidecarProcess(
        process=process,
        outgoing=read_address(values["listen_addresses.outbound"]),
        announcements=read_address(values["listen_addresses.control"]),
        upstream=read_address(values["application_address"]),
        log=log,
        addresses=_read_addresses(values),
    )
    watching = None
    try:
        await wait_until(lambda: b"in force" in log.read_bytes())
        watching = asyncio.create_task(node.watch_memory())
        yield node
    finally:
        if watching is not None:
            watching.cancel()
        process.kill()
        process.wait()
