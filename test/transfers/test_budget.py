"""Test the memory for bodies."""

import math

from goldcrestwharf.transfers import AnswerMemory, BodyBudget

MEMORY = 4000


def make_budget(memory_bytes: float = MEMORY) -> BodyBudget:
    return BodyBudget(
        memory_bytes=memory_bytes,
        link_rate=1000,
        is_enabled=lambda: True,
        count_refusal=lambda: None,
    )


def test_bodies_take_a_quarter_of_the_memory_together() -> None:
    budget = make_budget()
    assert budget.reserve(600)
    assert budget.reserve(400)
    assert not budget.reserve(1)
    budget.release(600)
    assert budget.reserve(600)


def test_one_body_is_allowed_whatever_its_size() -> None:
    budget = make_budget()
    assert budget.reserve(5000)
    # A chunked body grows while it is the only one.
    assert budget.reserve(5000, held=5000)
    assert not budget.reserve(1)


def test_memory_without_a_limit_is_never_refused() -> None:
    budget = make_budget(math.inf)
    assert budget.reserve(10**12)
    assert budget.reserve(10**12)


def test_one_answer_is_received_while_waiting_requests_hold_all_memory() -> (
    None
):
    """Otherwise all of them wait for answers until their deadlines."""
    budget = make_budget()
    assert budget.reserve(1000)
    holders: set[AnswerMemory] = set()
    first, second = (
        AnswerMemory(budget=budget, size=500, holders=holders) for _ in range(2)
    )
    assert first.admit()
    assert not second.admit()
    first.release()
    first.release()
    assert second.admit()
    second.release()
    assert budget.used == 1000
