"""The bound on retries over a whole tree of calls."""

import random

from hypothesis import given
from hypothesis import strategies as st

from pimentoscale.call import RequestBudgets, RetryBudget
from pimentoscale.call.budget import KEPT_S, MAX_BUDGETS

MAX_DEPTH = 6


def run_tree(source: random.Random, budget: RetryBudget, depth: int) -> int:
    """Run a random tree under a budget and return the retries that it used."""
    used = 0
    while True:
        for _ in range(source.randrange(3) if depth < MAX_DEPTH else 0):
            child = RetryBudget(retries=(lent := budget.allocate_half()))
            used += run_tree(source, child, depth + 1)
            answer_is_lost = source.random() < 0.2
            spent = lent if answer_is_lost else child.close()
            budget.reclaim(allocated=lent, spent=spent)
        if source.random() < 0.5 or not budget.spend():
            return used
        used += 1


@given(seed=st.integers(0, 2**32), bound=st.integers(0, 8))
def test_random_trees_stay_within_the_bound(seed: int, bound: int) -> None:
    assert run_tree(random.Random(seed), RetryBudget(retries=bound), 0) <= bound


def test_lost_answer_counts_as_all_spent() -> None:
    budget = RetryBudget(retries=3)
    lent = budget.allocate_all()
    assert lent == 3
    assert budget.remaining == 0
    assert budget.spent == 3


def test_implausible_report_gives_nothing_back() -> None:
    budget = RetryBudget(retries=3)
    lent = budget.allocate_all()
    budget.reclaim(allocated=lent, spent=-5)
    assert budget.remaining == 0


def test_settled_budget_takes_nothing_back() -> None:
    budget = RetryBudget(retries=4)
    lent = budget.allocate_half()
    assert budget.close() == 2
    budget.reclaim(allocated=lent, spent=0)
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


def test_budgets_are_forgotten_after_a_while_and_bounded_in_number() -> None:
    budgets = RequestBudgets()
    budgets.get_or_create(caller="a", request="r", retries=2, now=0.0).spend()
    assert (
        budgets.get_or_create(
            caller="a", request="r", retries=2, now=KEPT_S + 1
        ).remaining
        == 2
    )
    for number in range(MAX_BUDGETS + 5):
        budgets.get_or_create(caller="a", request=str(number), retries=1, now=100.0)
    assert len(budgets) <= MAX_BUDGETS
