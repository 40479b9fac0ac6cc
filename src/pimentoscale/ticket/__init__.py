"""Tickets and the ledgers by which non-idempotent calls run at most once.

The home of a ticket is the node through which its call runs: it sends the call to a
target and stores the answer for duplicates. The witness is another node, which
records either that the home is about to run the call or that it must not.
"""

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
