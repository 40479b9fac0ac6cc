"""One account of the bytes that a node holds for its clients."""

from pimentoscale.memory.account import Holding, MemoryAccount, make_account
from pimentoscale.memory.allocator import configure_allocator

__all__ = ["Holding", "MemoryAccount", "configure_allocator", "make_account"]
