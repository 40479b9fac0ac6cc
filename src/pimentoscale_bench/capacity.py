"""Computes the capacity of a deployment from its slots and service times."""

from pimentoscale_bench.deployment import Deployment


def get_holding_ms(deployment: Deployment, kind: str) -> float:
    """Return how long a call of a kind holds its slot, in ms, sub-calls included."""
    plan = deployment.kinds[kind]
    sub_calls_ms = sum(get_holding_ms(deployment, called) for called in plan.calls)
    return plan.service_ms + sub_calls_ms


def get_demand_ms(
    deployment: Deployment, weights: dict[str, float]
) -> dict[str, float]:
    """Return the mean slot time that one call takes from each service, in ms.

    `weights` gives each kind's weight in the load.
    """
    demand = dict.fromkeys(deployment.services, 0.0)
    total = sum(weights.values())
    pending = [(kind, weight / total) for kind, weight in weights.items()]
    while pending:
        kind, share = pending.pop()
        plan = deployment.kinds[kind]
        demand[plan.service] += share * get_holding_ms(deployment, kind)
        pending.extend((called, share) for called in plan.calls)
    return demand


def compute_capacity(deployment: Deployment, weights: dict[str, float]) -> float:
    """Return the calls per second at which the first service uses all its slots.

    `weights` gives each kind's weight in the load.
    """
    demand = get_demand_ms(deployment, weights)
    rates = [
        1000 * plan.targets * plan.slots / demand[name]
        for name, plan in deployment.services.items()
        if demand[name] > 0
    ]
    return min(rates)
