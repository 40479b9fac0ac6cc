"""How many calls a second a deployment's slots can take, by arithmetic."""

from pimentoscale_bench.deployment import Deployment


def get_holding_ms(deployment: Deployment, kind: str) -> float:
    """Return how long a call of a kind holds its slot, sub-calls included."""
    plan = deployment.kinds[kind]
    below = sum(get_holding_ms(deployment, called) for called in plan.calls)
    return plan.service_ms + below


def get_demand_ms(
    deployment: Deployment, weights: dict[str, float]
) -> dict[str, float]:
    """Return the slot time that one average call takes of each service."""
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
    """Return the calls a second at which the first service has no slot left."""
    demand = get_demand_ms(deployment, weights)
    rates = [
        1000 * plan.targets * plan.slots / demand[name]
        for name, plan in deployment.services.items()
        if demand[name] > 0
    ]
    return min(rates)
