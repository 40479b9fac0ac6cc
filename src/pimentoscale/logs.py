"""Log lines with a fixed prefix per part, as text or JSON."""

import asyncio
import json
import logging
import os
import sys
import time
from collections import deque
from collections.abc import MutableMapping
from typing import Any

import msgspec

from pimentoscale.settings import LogSettings

# Lines are written in batches, so that no request waits for standard output.
FLUSH_PERIOD_S = 0.1
# Lines that wait to be written; more are dropped and counted.
MAX_WAITING_LINES = 4000
# Lines that one process writes a second, averaged over the burst.
MAX_LINES_PER_S = 500.0
BURST_LINES = 2000.0
STANDARD_OUTPUT = 1

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each line and the request id behind it.

    Lines of the level INFO, of which there is one for each request, go straight to the
    structured log where there is one: the records of `logging` cost a tenth of the
    processor time of a request.
    """

    def __init__(self, *, part: str) -> None:
        super().__init__(logging.getLogger(f"pimentoscale.{part}"))
        self._part = part

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Return the line with its prefix; `request` becomes a field."""
        request = kwargs.pop("request", None)
        kwargs["extra"] = {"part": self._part, "request": request}
        suffix = f" request={request}" if request else ""
        return f"{self._part}: {msg}{suffix}", kwargs

    def info(self, msg: Any, *args: Any, **kwargs: Any) -> None:
        """Log a line of the level INFO."""
        handler = structured.handler
        if handler is None:
            super().info(msg, *args, **kwargs)
        elif handler.admit(now=time.monotonic()):
            handler.take(
                LogFields(
                    time=handler.clock.format(time.time()),
                    level="INFO",
                    part=self._part,
                    request=kwargs.get("request"),
                    message=f"{self._part}: {msg % args if args else msg}",
                )
            )


class LogFields(msgspec.Struct, kw_only=True):
    """The fields of one line of the structured log."""

    time: str
    level: str
    part: str
    request: str | None
    message: str


class LogClock:
    """Formats times; the text of a second is made once."""

    __slots__ = ("_second", "_text")

    def __init__(self) -> None:
        self._second = 0
        self._text = ""

    def format(self, now: float) -> str:
        """Return local date and time with milliseconds of a time of day."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._text = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(second))
        return f"{self._text},{int(now % 1 * 1000):03d}"


class _JsonFormatter(logging.Formatter):
    def __init__(self, *, clock: LogClock) -> None:
        super().__init__()
        self._clock = clock

    def format(self, record: logging.LogRecord) -> str:
        message = record.getMessage()
        if record.exc_info:
            message += " " + self.formatException(record.exc_info)
        fields = LogFields(
            time=self._clock.format(record.created),
            level=record.levelname,
            part=getattr(record, "part", ""),
            request=getattr(record, "request", None),
            message=message,
        )
        return msgspec.json.encode(fields).decode()


def get_logger(part: str) -> PartLogger:
    """Return the logger of one part, such as `admission`."""
    return PartLogger(part=part)


def configure_logs(*, settings: LogSettings) -> None:
    """Send all log lines to standard error in the form of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    is_json = settings.format == "json"
    formatter = _JsonFormatter(clock=LogClock())
    handler.setFormatter(formatter if is_json else logging.Formatter(_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level)


class BoundedHandler(logging.Handler):
    """Keeps lines in memory and writes them in batches, without ever blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = LogClock()
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._allowance = BURST_LINES
        self._refilled = time.monotonic()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the line unless too many wait or too many came."""
        if self.admit(now=time.monotonic()):
            self._lines.append(self.format(record).encode() + b"\n")

    def admit(self, *, now: float) -> bool:
        """Count one line; return False if it must be dropped."""
        gained = (now - self._refilled) * MAX_LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._refilled = now
        if self._allowance < 1 or len(self._lines) >= MAX_WAITING_LINES:
            self._dropped += 1
            return False
        self._allowance -= 1
        return True

    def take(self, fields: LogFields) -> None:
        """Keep a line that was admitted."""
        self._lines.append(msgspec.json.encode(fields) + b"\n")

    def count_waiting(self) -> int:
        """Return the lines that wait to be written."""
        return len(self._lines)

    def write_out(self) -> None:
        """Write what waits, as far as standard output takes it."""
        if self._dropped and not self._rest:
            line = {"part": "logs", "message": f"lines dropped: {self._dropped}"}
            self._lines.append(json.dumps(line).encode() + b"\n")
            self._dropped = 0
        if not self._lines and not self._rest:
            return
        data = self._rest
        if not data:
            data = b"".join(self._lines)
            self._lines.clear()
        try:
            written = os.write(STANDARD_OUTPUT, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads standard output any more; there is nowhere to say so.
            written = len(data)
        self._rest = data[written:]


class StructuredLog:
    """The structured log of this process, once there is one."""

    __slots__ = ("handler",)

    def __init__(self) -> None:
        self.handler: BoundedHandler | None = None


structured = StructuredLog()


async def _write_out_regularly(handler: BoundedHandler) -> None:
    try:
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            handler.write_out()
    finally:
        handler.write_out()


def configure_structured_logs() -> "asyncio.Task[None]":
    """Write log lines as JSON to standard output, bounded and without blocking."""
    os.set_blocking(STANDARD_OUTPUT, False)
    handler = BoundedHandler()
    handler.setFormatter(_JsonFormatter(clock=handler.clock))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    structured.handler = handler
    return asyncio.create_task(_write_out_regularly(handler))
