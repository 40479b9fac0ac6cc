"""Quotas of organisations over all nodes, by their decisions without a network."""

from dataclasses import replace

import pytest

from pimentoscale.errors import ErrorKind
from pimentoscale.limits import QuotaGate, ZoneShares
from pimentoscale.organisations import Organisation
from tests.quota_model import Model, Zone, make_model

SMALL = Organisation(name="small", importance=1, rate_limit=5.0, burst=5.0)
LARGE = Organisation(name="large", importance=1, rate_limit=120.0, burst=120.0)
# An organisation's usual demand, as part of its limit.
USUAL = 1 / 1.6
SERVED_SHARE = 0.95
NODES = 18


def spread(model: Model, factor: dict[str, float]) -> dict[str, float]:
    """Return the demand at each node for multiples of the limit."""
    return {
        name: model.organisations[name].rate_limit * part / NODES
        for name, part in factor.items()
    }


def check_bounds(model: Model) -> None:
    for name in model.organisations:
        assert model.find_excess(name) <= 0, name


@pytest.mark.parametrize("seed", range(4))
def test_nobody_below_the_limit_is_refused(seed: int) -> None:
    model = make_model(SMALL, LARGE, seed=seed)
    rates = spread(model, {"small": USUAL, "large": USUAL})
    model.run(3.0, lambda zone, index, name: rates[name])
    asked = dict(model.asked)
    admitted = {name: len(times) for name, times in model.admitted.items()}
    model.run(20.0, lambda zone, index, name: rates[name])
    for name in rates:
        served = len(model.admitted[name]) - admitted[name]
        assert served >= 0.99 * (model.asked[name] - asked[name]), name


@pytest.mark.parametrize("seed", range(3))
def test_one_at_seven_and_a_half_times_its_usual_gets_its_limit(seed: int) -> None:
    model = make_model(SMALL, LARGE, seed=seed)
    usual = spread(model, {"small": USUAL, "large": USUAL})
    hot = spread(model, {"small": USUAL, "large": 7.5 * USUAL})
    model.run(8.0, lambda zone, index, name: usual[name])
    model.run(4.0, lambda zone, index, name: hot[name])
    asked = model.asked["small"]
    rates = model.run(6.0, lambda zone, index, name: hot[name])
    assert rates["large"] >= SERVED_SHARE * LARGE.rate_limit
    asked = model.asked["small"] - asked
    assert round(6.0 * rates["small"]) >= 0.99 * asked
    check_bounds(model)


@pytest.mark.parametrize("name", ["small", "large"])
@pytest.mark.parametrize("place", ["one node", "one zone"])
def test_rate_is_served_wherever_the_demand_comes(name: str, place: str) -> None:
    model = make_model(SMALL, LARGE)
    rate = model.organisations[name].rate_limit

    def demand(zone: Zone, index: int, organisation: str) -> float:
        if organisation != name or zone is not model.zones[1]:
            return 0.0
        if place == "one node":
            return 3 * rate if index == 4 else 0.0
        return 3 * rate / len(zone.gates)

    model.run(8.0, demand)
    assert model.run(10.0, demand)[name] >= SERVED_SHARE * rate
    check_bounds(model)


def test_demand_that_moves_from_node_to_node_stays_within_the_limit() -> None:
    model = make_model(LARGE)
    for turn in range(8):

        def demand(zone: Zone, index: int, name: str, turn: int = turn) -> float:
            is_source = zone is model.zones[turn % 3] and index == turn % 6
            return 5 * LARGE.rate_limit if is_source else 0.0

        model.run(1.0, demand)
    check_bounds(model)


def test_cut_zone_keeps_to_its_part_and_is_served_with_it() -> None:
    model = make_model(LARGE)
    hot = spread(model, {"large": 5.0})["large"]
    usual = spread(model, {"large": USUAL})["large"]
    model.run(8.0, lambda zone, index, name: usual)
    for zone in model.zones:
        zone.cut = {other.name for other in model.zones if other is not zone}
    rate = model.run(8.0, lambda zone, index, name: hot)["large"]
    assert rate >= SERVED_SHARE * LARGE.rate_limit
    check_bounds(model)


@pytest.mark.parametrize("one_way", [True, False])
def test_demand_that_moves_during_a_cut_stays_within_the_limit(one_way: bool) -> None:
    model = make_model(LARGE)
    first, second, _ = model.zones
    usual = spread(model, {"large": 3.0})["large"]
    model.run(6.0, lambda zone, index, name: usual)
    first.cut = {second.name}
    if not one_way:
        second.cut = {first.name}
    model.run(8.0, lambda zone, index, name: 6 * usual if zone is second else 0.0)
    model.run(8.0, lambda zone, index, name: 6 * usual if zone is first else 0.0)
    check_bounds(model)


def test_home_that_dies_under_load_is_replaced_within_the_limit() -> None:
    model = make_model(LARGE)
    hot = spread(model, {"large": 5.0})["large"]
    model.run(6.0, lambda zone, index, name: hot)
    zone = model.zones[0]
    zone.alone = {0}
    zone.home = None
    model.run(1.5, lambda zone, index, name: hot)
    model.replace_home(zone, index=1)
    model.run(3.0, lambda zone, index, name: hot)
    rate = model.run(5.0, lambda zone, index, name: hot)["large"]
    assert rate >= 0.9 * LARGE.rate_limit
    check_bounds(model)


def test_nodes_that_are_cut_off_go_on_within_the_limit() -> None:
    model = make_model(LARGE, nodes=6)
    usual = spread(model, {"large": USUAL})["large"]
    hot = spread(model, {"large": 7.5 * USUAL})["large"]
    model.run(8.0, lambda zone, index, name: usual)
    for zone in model.zones:
        zone.alone = {3}
    alone = [zone.gates[3] for zone in model.zones]
    model.run(2.0, lambda zone, index, name: usual)
    assert all(gate.is_alone(now=model.now) for gate in alone)
    before = len(model.admitted["large"])
    model.run(4.0, lambda zone, index, name: usual if index == 3 else 0.0)
    served = len(model.admitted["large"]) - before
    assert served >= 0.8 * 4.0 * usual * 3
    model.run(8.0, lambda zone, index, name: hot)
    check_bounds(model)


def test_limit_lowered_to_a_fifth_holds_a_window_later() -> None:
    model = make_model(LARGE)
    hot = spread(model, {"large": 2.0})["large"]
    model.run(8.0, lambda zone, index, name: hot)
    lowered = replace(LARGE, rate_limit=24.0, burst=24.0)
    model.organisations["large"] = lowered
    model.run(5.0, lambda zone, index, name: hot)
    model.admitted["large"].clear()
    rate = model.run(10.0, lambda zone, index, name: hot)["large"]
    assert rate >= SERVED_SHARE * lowered.rate_limit
    check_bounds(model)
    model.organisations["large"] = LARGE
    model.run(4.0, lambda zone, index, name: hot)
    assert model.run(5.0, lambda zone, index, name: hot)["large"] >= (
        SERVED_SHARE * LARGE.rate_limit
    )


def test_all_nodes_start_again_within_the_limit() -> None:
    model = make_model(LARGE)
    hot = spread(model, {"large": 5.0})["large"]
    model.run(6.0, lambda zone, index, name: hot)
    for zone in model.zones:
        zone.gates = [QuotaGate(phase=model.rng.random()) for _ in zone.gates]
        model.replace_home(zone, index=0)
    model.run(6.0, lambda zone, index, name: hot)
    check_bounds(model)


def test_two_nodes_that_take_themselves_for_the_home_admit_no_more() -> None:
    model = make_model(LARGE)
    hot = spread(model, {"large": 5.0})["large"]
    model.run(6.0, lambda zone, index, name: hot)
    zone = model.zones[0]
    # Half of the zone's nodes report to another home.
    zone.alone = {3, 4, 5}
    assert not zone.decider.has_majority(
        ["0", "1", "2", "3", "4", "5"], period_s=0.2, now=model.now + 2.0
    )
    model.run(8.0, lambda zone, index, name: hot)
    check_bounds(model)


def test_refusal_tells_when_to_return_and_what_was_admitted_can_be_taken_back() -> None:
    gate = QuotaGate(phase=0.0)
    gate.apply_shares({"small": 0.0}, now=0.0)
    error = gate.admit(SMALL, now=0.1)
    assert error is not None
    assert error.kind is ErrorKind.OVER_QUOTA
    assert error.retry_after_ms > 0
    gate.apply_shares({}, now=0.2)
    assert gate.admit(SMALL, now=0.2) is None
    gate.take_back(SMALL)
    usage = gate.take_usage({"small": SMALL}, elapsed_s=0.2, now=0.3)
    assert (usage["small"].asked, usage["small"].admitted) == (2, 0)
    unlimited = replace(SMALL, rate_limit=0.0)
    assert all(gate.admit(unlimited, now=9.0) is None for _ in range(1000))


def test_zone_counts_a_rise_only_once_the_others_know_of_it() -> None:
    shares = ZoneShares(incarnation=7)
    shares.set_zones({"b"})
    assert shares.get_share("x", rate=10.0) == 0.5
    first = shares.state({"x": 10.0})
    shares.record_statement("b", {"x": 10.0}, number=(8, 1), confirmed=first)
    assert shares.get_share("x", rate=10.0) == 0.5
    second = shares.state({"x": 30.0})
    assert shares.get_share("x", rate=10.0) == 0.5
    # A confirmation of another home of this zone does not count.
    shares.record_statement("b", {"x": 10.0}, number=(8, 2), confirmed=(6, 99))
    assert shares.get_share("x", rate=10.0) == 0.5
    shares.record_statement("b", {"x": 10.0}, number=(8, 3), confirmed=second)
    assert shares.get_share("x", rate=10.0) == 0.75
    # A fall counts at once, and a late statement of the other zone does not.
    shares.state({"x": 10.0})
    shares.record_statement("b", {"x": 0.0}, number=(8, 2), confirmed=second)
    assert shares.get_share("x", rate=10.0) == 0.5
