"""The request, context, retry budget, message bodies and answer of a call."""

from pimentoscale.call.answer import Answer, Header
from pimentoscale.call.body import Body, BodyTruncatedError, collect_body
from pimentoscale.call.budget import RequestBudgets, RetryBudget
from pimentoscale.call.context import CallContext, ContextTable
from pimentoscale.call.request import CallRequest

__all__ = [
    "Answer",
    "Body",
    "BodyTruncatedError",
    "CallContext",
    "CallRequest",
    "ContextTable",
    "Header",
    "RequestBudgets",
    "RetryBudget",
    "collect_body",
]
