"""Test accounts, shares, stocks and promises one by one."""

import pytest

from goldcrestwharf.admission import Refusal
from goldcrestwharf.quotas import (
    Account,
    AccountBook,
    Allotment,
    Grant,
    Limit,
    Reach,
    Token,
    TokenRequest,
    TokenStock,
    find_share,
    rank_names,
)
from goldcrestwharf.timers import ManualTimers

DAEMONS = 72
LIMIT = Limit(rate=100, burst=100)
LOCAL = 'local'


@pytest.mark.parametrize(
    'sides',
    [(72,), (18, 54), (18, 18, 18, 18), (1, 71), (1,) * 72, (2,) * 36],
)
@pytest.mark.parametrize('burst', [0, 50, 100, 1000])
def test_shares_of_all_sides_stay_within_the_bound(
    sides: tuple[int, ...], burst: float
) -> None:
    """Guards against members that each take the few they know for all."""
    limit = Limit(rate=100, burst=burst)
    shares = [find_share(side / DAEMONS, limit) for side in sides]
    depth = burst / 2 * sum(shares)
    # A fifth of a second is left for the changes themselves.
    most = (limit.rate * 5 + burst) * 1.1
    assert limit.rate * 5.2 * sum(shares) + depth <= most


def test_loss_of_a_few_daemons_does_not_lower_a_limit() -> None:
    assert find_share(66 / DAEMONS, LIMIT) == 1


def test_new_account_grants_nothing_but_promises() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    allotment = account.take(80, 0, 0)
    assert allotment.tokens == 50
    assert allotment.find_wait(0) == pytest.approx(0.01)
    assert allotment.find_wait(49) == pytest.approx(0.5)
    assert allotment.find_retry_after(0) == pytest.approx(0.51)


def test_retry_after_counts_those_refused_before() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    account.take(50, 0, 0)
    waits = [account.take(1, 0, 0).retry_after for _ in range(3)]
    assert waits == pytest.approx([0.51, 0.52, 0.53])


def test_retry_after_stays_bounded_during_a_long_overload() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    waits = [account.take(1, 0, 0).retry_after for _ in range(5000)]
    assert max(waits) <= 5.01


def test_lowered_limit_reduces_the_bucket_at_once() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    account.apply(Limit(rate=1, burst=10), 1, 10)
    allotment = account.take(100, 0, 10)
    assert allotment.tokens <= 6


def test_prefetch_leaves_half_of_the_stored_tokens() -> None:
    account = Account(tokens=10, now=0)
    account.apply(LIMIT, 1, 0)
    assert account.take(1, 100, 0).tokens == 1 + 4


class View:
    """View of an asking daemon that the test sets."""

    def __init__(self) -> None:
        self.reach = Reach(reached=DAEMONS, known=DAEMONS)
        self.first = True
        self.holds = True

    def find_reach(self) -> Reach:
        return self.reach

    def is_first(self, _: str) -> bool:
        return self.first

    def may_hold(self) -> bool:
        return self.holds


def make_book(view: View, timers: ManualTimers) -> AccountBook:
    return AccountBook(
        view=view,
        find_limit={'bakery': LIMIT}.get,
        clock=timers.now,
        handle_takeover=lambda *_: None,
    )


async def count_granted(view: View, asker_count: int = 1) -> int:
    """Return the tokens granted within two seconds."""
    timers = ManualTimers()
    book = make_book(view, timers)
    granted = 0
    for _ in range(20):
        await timers.advance(0.1)
        book.check()
        for asker in range(asker_count):
            request = TokenRequest(workspace='bakery', wanted=100)
            allotment = book.grant(f'daemon-{asker}', request)
            assert allotment is not None
            granted += allotment.tokens
    return granted


async def test_account_beside_the_coordinator_grants_the_askers_part() -> None:
    """Guards against two whole accounts when one daemon lost a link."""
    view = View()
    assert await count_granted(view) > 200
    view.first = False
    assert await count_granted(view) <= 10
    assert await count_granted(view, asker_count=DAEMONS) > 200


async def test_account_beside_the_coordinator_names_no_long_wait() -> None:
    """Guards against callers that are sent away past the takeover."""
    timers = ManualTimers()
    view = View()
    view.first = False
    book = make_book(view, timers)
    allotment = book.grant('a', TokenRequest(workspace='bakery', wanted=2))
    assert allotment is not None
    assert allotment.tokens == 0
    assert allotment.find_retry_after(1) == pytest.approx(0.5)


async def test_coordinator_that_declines_is_replaced_as_a_whole() -> None:
    """Guards against refusals while a restarted daemon discovers others."""
    view = View()
    view.first = False
    book = make_book(view, ManualTimers())
    request = TokenRequest(workspace='bakery', wanted=100, is_declined=True)
    allotment = book.grant('a', request)
    assert allotment is not None
    assert allotment.tokens == 50


async def test_pause_of_the_coordinator_empties_its_accounts() -> None:
    timers = ManualTimers()
    book = make_book(View(), timers)
    book.grant('a', TokenRequest(workspace='bakery', wanted=1))
    await timers.advance(5)
    request = TokenRequest(workspace='bakery', wanted=100)
    allotment = book.grant('a', request)
    assert allotment is not None
    # Three at the start of the account, and the promises of half a second.
    assert allotment.tokens == 53


def test_unknown_workspace_and_young_daemon_are_declined() -> None:
    view = View()
    book = make_book(view, ManualTimers())
    assert book.grant('a', TokenRequest(workspace='none', wanted=1)) is None
    view.holds = False
    assert book.grant('a', TokenRequest(workspace='bakery', wanted=1)) is None


def settle(stock: TokenStock, allotment: Allotment, *ids: str) -> list[object]:
    grant = Grant(workspace='bakery', coordinator=LOCAL, allotment=allotment)
    return list(stock.settle(grant, ids, 0))


def test_promised_token_serves_its_caller_from_its_time_on() -> None:
    stock = TokenStock()
    refusal = settle(stock, Allotment(tokens=1, first_wait=0.4), 'r-1')[0]
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after == pytest.approx(0.401)
    early = stock.find('r-1', LOCAL, 0.3)
    assert isinstance(early, Refusal)
    assert early.retry_after == pytest.approx(0.101)
    assert stock.find('r-2', LOCAL, 0.45) is None
    assert isinstance(stock.find('r-1', LOCAL, 0.401), Token)


def test_unclaimed_promise_is_released() -> None:
    stock = TokenStock()
    settle(stock, Allotment(tokens=1, first_wait=0.4), 'r-1')
    assert not stock.release(0.45)
    assert len(stock.release(0.6)) == 1
    assert stock.find('r-1', LOCAL, 0.7) is None


def test_promise_of_a_former_coordinator_is_void() -> None:
    """Guards against two daemons that grant the same half second."""
    stock = TokenStock()
    settle(stock, Allotment(tokens=1, first_wait=0.4), 'r-1')
    assert stock.find('r-1', 'other', 0.5) is None


def test_unused_token_expires_after_a_second() -> None:
    stock = TokenStock()
    settle(stock, Allotment(tokens=2))
    assert isinstance(stock.find('r-1', LOCAL, 0.9), Token)
    assert stock.find('r-2', LOCAL, 1.1) is None


def test_tokens_are_wanted_ahead_only_with_much_demand() -> None:
    stock = TokenStock()
    settle(stock, Allotment(tokens=4), 'a', 'b', 'c', 'd')
    assert stock.count_wanted(0) == 0
    settle(stock, Allotment(tokens=20), *map(str, range(20)))
    assert 2 <= stock.count_wanted(0) <= 3


def test_loss_of_a_daemon_moves_only_its_workspaces() -> None:
    names = [f'daemon-{number}' for number in range(DAEMONS)]
    workspaces = [f'workspace-{number}' for number in range(78)]
    for workspace in workspaces:
        first = rank_names(workspace, names)[0]
        rest = [name for name in names if name != names[0]]
        moved = rank_names(workspace, rest)[0] != first
        assert moved is (first == names[0])
