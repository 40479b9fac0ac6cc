"""Client of the platform's log service."""

from pimentoscale.platform.client import LogClient, LogError, LogPage

__all__ = ["LogClient", "LogError", "LogPage"]
