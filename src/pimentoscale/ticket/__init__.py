"""Tickets, homes and witnesses: non-idempotent work runs at most once."""

from pimentoscale.ticket.home import HomeEntry, HomeLedger
from pimentoscale.ticket.issuer import NodeIdentity, Ticket, TicketIssuer
from pimentoscale.ticket.witness import TicketStatus, WitnessLedger, WitnessVerdict

__all__ = [
    "HomeEntry",
    "HomeLedger",
    "NodeIdentity",
    "Ticket",
    "TicketIssuer",
    "TicketStatus",
    "WitnessLedger",
    "WitnessVerdict",
]
