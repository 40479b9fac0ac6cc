"""Log lines with a fixed prefix per part, as text or JSON."""

import json
import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from pimentoscale.settings import LogSettings

_FORMAT = "%(asctime)s %(levelname)s %(message)s"


class PartLogger(logging.LoggerAdapter[logging.Logger]):
    """Puts the part's prefix before each line and the request id behind it."""

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


class _JsonFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line = {
            "time": self.formatTime(record),
            "level": record.levelname,
            "part": getattr(record, "part", ""),
            "request": getattr(record, "request", None),
            "message": record.getMessage(),
        }
        return json.dumps(line)


def get_logger(part: str) -> PartLogger:
    """Return the logger of one part, such as `admission`."""
    return PartLogger(part=part)


def configure_logs(*, settings: LogSettings) -> None:
    """Send all log lines to standard error in the form of the settings."""
    handler = logging.StreamHandler(sys.stderr)
    is_json = settings.format == "json"
    handler.setFormatter(_JsonFormatter() if is_json else logging.Formatter(_FORMAT))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level)
