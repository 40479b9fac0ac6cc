"""Limits on the rate of each organisation's requests over all nodes together."""

from pimentoscale.limits.allowance import QuotaBounds, Usage
from pimentoscale.limits.gate import QuotaGate
from pimentoscale.limits.home import QuotaHome
from pimentoscale.limits.shares import ZoneShares

__all__ = ["QuotaBounds", "QuotaGate", "QuotaHome", "Usage", "ZoneShares"]
