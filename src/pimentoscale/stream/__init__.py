"""Streams of msgpack frames between nodes."""

from pimentoscale.stream.codec import FrameError, decode_frame, encode_frame
from pimentoscale.stream.connection import Connection
from pimentoscale.stream.frames import (
    Announcements,
    Call,
    Cancel,
    Chunk,
    Credit,
    FetchRecords,
    Frame,
    Heartbeat,
    Hello,
    Leaving,
    RecordIntent,
    Records,
    Reply,
    ResolveTicket,
    Slow,
    Verdict,
)
from pimentoscale.stream.peer import Peer, PeerLostError, PeerUnreachableError

__all__ = [
    "Announcements",
    "Call",
    "Cancel",
    "Chunk",
    "Connection",
    "Credit",
    "FetchRecords",
    "Frame",
    "FrameError",
    "Heartbeat",
    "Hello",
    "Leaving",
    "Peer",
    "PeerLostError",
    "PeerUnreachableError",
    "RecordIntent",
    "Records",
    "Reply",
    "ResolveTicket",
    "Slow",
    "Verdict",
    "decode_frame",
    "encode_frame",
]
