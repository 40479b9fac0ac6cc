"""The account of the bytes held for clients, without a network."""

import random

from pimentoscale.memory import Holding, MemoryAccount, make_account

MEGABYTE = 1024 * 1024


class Client:
    """Holds bytes until it has to give way."""

    def __init__(self, account: MemoryAccount, *, now: float) -> None:
        self.account = account
        self.evicted = False
        self.holding = Holding(label="body", on_evict=self._give_way, now=now)

    def grow(self, size: int, *, now: float) -> bool:
        return self.account.grow(self.holding, size, now=now)

    def _give_way(self) -> None:
        self.evicted = True


def test_what_held_most_for_longest_gives_way_and_an_ordinary_one_does_not() -> None:
    account = MemoryAccount(capacity=100)
    old = Client(account, now=0.0)
    large = Client(account, now=9.0)
    ordinary = Client(account, now=9.9)
    assert old.grow(30, now=0.0)
    assert large.grow(60, now=9.0)
    assert ordinary.grow(10, now=9.9)
    assert ordinary.grow(5, now=10.0)
    assert old.evicted
    assert not large.evicted
    assert not ordinary.evicted
    assert account.held == 75
    assert ordinary.grow(30, now=10.1)
    assert large.evicted
    assert account.held == 45


def test_what_may_have_run_never_gives_way_and_the_newest_is_refused() -> None:
    account = MemoryAccount(capacity=100)
    running = Client(account, now=0.0)
    assert running.grow(90, now=0.0)
    running.holding.is_evictable = False
    late = Client(account, now=50.0)
    assert not late.grow(20, now=50.0)
    assert late.evicted
    assert not running.evicted
    account.release(running.holding)
    assert account.held == 0
    assert Client(account, now=51.0).grow(100, now=51.0)


def test_room_is_reserved_only_if_there_is_any() -> None:
    account = MemoryAccount(capacity=100)
    first = Client(account, now=0.0)
    second = Client(account, now=0.0)
    assert account.try_reserve(first.holding, 60)
    assert not account.try_reserve(second.holding, 60)
    account.release(first.holding)
    assert account.try_reserve(second.holding, 60)


def test_account_never_holds_more_than_its_capacity() -> None:
    rng = random.Random(1)
    account = MemoryAccount(capacity=1000)
    clients: list[Client] = []
    for step in range(5000):
        now = step * 0.01
        if rng.random() < 0.3 or not clients:
            clients.append(Client(account, now=now))
        client = rng.choice(clients)
        if client.evicted or rng.random() < 0.1:
            account.release(client.holding)
            clients.remove(client)
            continue
        client.grow(rng.randrange(1, 200), now=now)
        assert account.held <= account.capacity
        held = sum(item.holding.size for item in clients if not item.evicted)
        assert account.held == held


def test_capacity_follows_from_the_memory_of_the_settings() -> None:
    assert make_account(200).capacity == 136 * MEGABYTE
    assert make_account(40).capacity == 10 * MEGABYTE
    assert make_account(0).capacity > 10**12
