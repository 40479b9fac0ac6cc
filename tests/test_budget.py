"""Tests of the bound on retries over a whole call tree."""

import random

from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.call import RequestBudgets, RetryBudget
from pimentoscale.call.budget import MAX_BUDGETS, RETENTION_S

MAX_DEPTH = 6


def run_tree(rng: random.Random, budget: RetryBudget, depth: int) -> int:
    """Run a random call tree under a budget and return the retries that it used."""
    used = 0
    while True:
        for _ in range(rng.randrange(3) if depth < MAX_DEPTH else 0):
            child = RetryBudget(retries=(allocated := budget.allocate_half()))
            used += run_tree(rng, child, depth + 1)
            answer_is_lost = rng.random() < 0.2
            spent = allocated if answer_is_lost else child.close()
            budget.reclaim(allocated=allocated, spent=spent)
        if rng.random() < 0.5 or not budget.spend():
            return used
        used += 1


@given(seed=st.integers(0, 2**32), bound=st.integers(0, 8))
def test_random_trees_stay_within_the_bound(seed: int, bound: int) -> None:
    assert run_tree(random.Random(seed), RetryBudget(retries=bound), 0) <= bound


def test_lost_answer_counts_as_all_spent() -> None:
    budget = RetryBudget(retries=3)
    allocated = budget.allocate_all()
    assert allocated == 3
    assert budget.remaining == 0
    assert budget.spent == 3


def test_implausible_report_reclaims_nothing() -> None:
    budget = RetryBudget(retries=3)
    allocated = budget.allocate_all()
    budget.reclaim(allocated=allocated, spent=-5)
    assert budget.remaining == 0


def test_closed_budget_reclaims_nothing() -> None:
    budget = RetryBudget(retries=4)
    allocated = budget.allocate_half()
    assert budget.close() == 2
    budget.reclaim(allocated=allocated, spent=0)
    assert budget.remaining == 0


def test_request_sent_again_draws_on_the_same_budget() -> None:
    budgets = RequestBudgets()
    first = budgets.get_or_create(caller="a", request="r", retries=2, now=0.0)
    assert first.spend()
    again = budgets.get_or_create(caller="a", request="r", retries=2, now=1.0)
    assert again.remaining == 1
    assert (
        budgets.get_or_create(caller="b", request="r", retries=2, now=1.0).remaining
        == 2
    )


def test_budgets_are_evicted_after_their_retention_and_bounded_in_number() -> None:
    budgets = RequestBudgets()
    budgets.get_or_create(caller="a", request="r", retries=2, now=0.0).spend()
    assert (
        budgets.get_or_create(
            caller="a", request="r", retries=2, now=RETENTION_S + 1
        ).remaining
        == 2
    )
    for number in range(MAX_BUDGETS + 5):
        budgets.get_or_create(caller="a", request=str(number), retries=1, now=100.0)
    assert len(budgets) <= MAX_BUDGETS
