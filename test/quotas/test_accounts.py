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
)
from goldcrestwharf.timers import ManualTimers

DAEMONS = 72
LIMIT = Limit(rate=100, burst=100)
LOCAL = 'local'


@pytest.mark.parametrize('sides', [(72,), (18, 54), (18,) * 4, (1,) * 72])
@pytest.mark.parametrize('burst', [0, 50, 100, 1000])
def test_shares_of_all_sides_stay_within_the_bound(
    sides: tuple[int, ...], burst: float
) -> None:
    """Guards against members that each take the few they know for all."""
    limit = Limit(rate=100, burst=burst)
    total = sum(find_share(side / DAEMONS, limit) for side in sides)
    # A fifth of a second is left for the changes themselves.
    most = (limit.rate * 5 + burst) * 1.1
    assert limit.rate * 5.2 * total + burst / 2 * total <= most
    # The loss of a few daemons changes nothing.
    assert find_share(66 / DAEMONS, LIMIT) == 1


def test_account_promises_half_a_second_and_lines_up_the_rest() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    allotment = account.take(80, 0, 0)
    assert allotment.tokens == 50
    assert allotment.find_wait(49) == pytest.approx(0.5)
    assert allotment.find_retry_after(0) == pytest.approx(0.51)
    assert account.take(1, 0, 0).retry_after == pytest.approx(0.81)
    waits = [account.take(1, 0, 0).retry_after for _ in range(5000)]
    assert max(waits) <= 5.01


def test_prefetch_leaves_half_of_the_stored_tokens() -> None:
    account = Account(tokens=10, now=0)
    account.apply(LIMIT, 1, 0)
    assert account.take(1, 100, 0).tokens == 1 + 4


class View:
    """View of a coordinator that the test sets."""

    first = True

    def find_reach(self) -> Reach:
        return Reach(reached=DAEMONS, known=DAEMONS)

    def is_first(self, _: str) -> bool:
        return self.first

    def may_hold(self) -> bool:
        return True


def ask(
    book: AccountBook,
    wanted: int = 100,
    asker: str = 'a',
    is_declined: bool = False,
) -> Allotment:
    request = TokenRequest(
        workspace='bakery', wanted=wanted, is_declined=is_declined
    )
    allotment = book.grant(asker, request)
    assert allotment is not None
    return allotment


def make_book(view: View, timers: ManualTimers) -> AccountBook:
    return AccountBook(
        view=view,
        find_limit={'bakery': LIMIT}.get,
        clock=timers.now,
        handle_takeover=lambda *_: None,
    )


@pytest.mark.parametrize(('askers', 'most'), [(1, 10), (DAEMONS, 300)])
async def test_account_beside_the_coordinator_grants_the_askers_part(
    askers: int, most: int
) -> None:
    """Guards against two whole accounts when one daemon lost a link."""
    timers = ManualTimers()
    view = View()
    view.first = False
    book = make_book(view, timers)
    # Callers aren't sent away past the takeover.
    assert ask(book).find_retry_after(1) == pytest.approx(0.5)
    granted = 0
    for _ in range(20):
        await timers.advance(0.1)
        book.check()
        for asker in range(askers):
            allotment = ask(book, asker=f'daemon-{asker}')
            granted = granted + allotment.tokens
    assert most / 10 < granted <= most


def test_coordinator_that_declines_is_replaced_as_a_whole() -> None:
    """Guards against refusals while a restarted daemon discovers others."""
    view = View()
    view.first = False
    assert ask(make_book(view, ManualTimers()), is_declined=True).tokens == 50


async def test_pause_of_the_coordinator_empties_its_accounts() -> None:
    timers = ManualTimers()
    book = make_book(View(), timers)
    ask(book, 1)
    await timers.advance(5)
    # Three at the start of the account, and the promises of half a second.
    assert ask(book).tokens == 53


def settle(allotment: Allotment, *ids: str) -> tuple[TokenStock, object]:
    stock = TokenStock()
    grant = Grant(workspace='bakery', coordinator=LOCAL, allotment=allotment)
    return stock, stock.settle(grant, ids, 0)[0]


def test_promised_token_serves_its_caller_from_its_time_on() -> None:
    stock, refusal = settle(Allotment(tokens=1, first_wait=0.4), 'r-1')
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after == pytest.approx(0.401)
    early = stock.find('r-1', LOCAL, 0.3)
    assert isinstance(early, Refusal)
    assert early.retry_after == pytest.approx(0.101)
    assert stock.find('r-2', LOCAL, 0.45) is None
    assert isinstance(stock.find('r-1', LOCAL, 0.401), Token)


def test_unclaimed_or_outdated_promise_gives_no_token() -> None:
    allotment = Allotment(tokens=1, first_wait=0.4)
    unclaimed, _ = settle(allotment, 'r-1')
    assert not unclaimed.release(0.45)
    assert len(unclaimed.release(0.6)) == 1
    outdated, _ = settle(allotment, 'r-1')
    assert outdated.find('r-1', 'other', 0.5) is None


def test_tokens_are_prefetched_with_much_demand_and_expire() -> None:
    stock, _ = settle(Allotment(tokens=6), 'r-1', 'r-2', 'r-3', 'r-4')
    assert stock.count_wanted(0) == 0
    assert isinstance(stock.find('r-5', LOCAL, 0.9), Token)
    assert stock.find('r-6', LOCAL, 1.1) is None
    busy, _ = settle(Allotment(tokens=20), *map(str, range(20)))
    assert busy.count_wanted(0) == 2
