"""Tickets, homes and witnesses: non-idempotent work runs at most once."""

from pimentoscale.ticket.home import HomeEntry, HomeLedger
from pimentoscale.ticket.mint import Holder, Ticket, TicketMint
from pimentoscale.ticket.witness import Ruling, WitnessLedger, WitnessVerdict

__all__ = [
    "Holder",
    "HomeEntry",
    "HomeLedger",
    "Ruling",
    "Ticket",
    "TicketMint",
    "WitnessLedger",
    "WitnessVerdict",
]
