"""Test accounts, shares, stocks and promises one by one."""

from collections.abc import Callable

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


def test_token_that_comes_back_is_granted_before_the_promised_ones() -> None:
    """Guards against promising it again to a caller that stays away."""
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    account.take(50, 0, 0)
    account.give_back(2, 0)
    allotment = account.take(3, 0, 0.1)
    assert [allotment.find_wait(index) for index in range(2)] == [0, 0]
    assert allotment.find_wait(2) == pytest.approx(0.41)


def test_tokens_that_come_back_together_are_limited_by_the_depth() -> None:
    """Guards against a lump of unclaimed tokens that is used at once."""
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    account.take(50, 0, 0)
    account.give_back(1000, 0)
    assert account.take(1000, 0, 0).ready == LIMIT.burst / 2
    account.give_back(1000, 100)
    assert account.take(1000, 0, 100).tokens == LIMIT.burst


def test_charge_counts_like_tokens_that_were_granted() -> None:
    account = Account(tokens=0, now=0)
    account.apply(LIMIT, 1, 0)
    account.charge(30, 0)
    assert account.take(100, 0, 0).tokens == 20
    account.charge(-30, 0)
    assert account.take(100, 0, 0).tokens == 30


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


def ignore_charge(_: TokenRequest) -> None:
    """Tell nobody."""


def make_book(
    view: View,
    timers: ManualTimers,
    report_charge: Callable[[TokenRequest], None] = ignore_charge,
) -> AccountBook:
    return AccountBook(
        view=view,
        find_limit={'bakery': LIMIT}.get,
        clock=timers.now,
        handle_takeover=lambda *_: None,
        report_charge=report_charge,
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


def test_tokens_of_an_account_beside_the_coordinator_are_charged_to_it() -> (
    None
):
    """Guards against two accounts where the coordinator is only slow."""
    coordinator = make_book(View(), ManualTimers())
    assert ask(coordinator, 3).tokens == 3
    view = View()
    view.first = False
    beside = make_book(view, ManualTimers(), coordinator.give_back)
    granted = sum(
        ask(beside, asker=f'daemon-{asker}').tokens for asker in range(DAEMONS)
    )
    assert ask(coordinator).tokens == 50 - granted
    # What comes back unused is no longer charged, once.
    for returned in (1, granted):
        beside.give_back(
            TokenRequest(workspace='bakery', wanted=0, returned=returned)
        )
    assert ask(coordinator).tokens == granted


async def test_account_beside_another_one_starts_without_promises() -> None:
    """Guards against promises of both, at each restart of a coordinator."""
    timers = ManualTimers()
    book = make_book(View(), timers)
    book.give_back(TokenRequest(workspace='bakery', wanted=0, charged=1))
    assert ask(book).tokens == 3
    await timers.advance(0.2)
    assert ask(book).tokens == 20


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


def test_tokens_of_a_lost_coordinator_are_void() -> None:
    """Guards against tokens of both its accounts after a quick restart."""
    stock, _ = settle(Allotment(tokens=3, first_wait=0.4), 'r-1', 'r-2')
    stock.drop(LOCAL)
    assert isinstance(stock.find('r-1', LOCAL, 0.3), Refusal)
    assert stock.find('r-1', LOCAL, 0.45) is None
    assert not stock.release(1)


def test_token_of_a_forgotten_caller_is_returned_once_it_is_due() -> None:
    """Guards against a limit that is lost where very many are refused."""
    many = [f'r-{number}' for number in range(1000)]
    allotment = Allotment(tokens=2, first_wait=0.4, spacing=0.01, retry_after=1)
    stock, _ = settle(allotment, *many)
    assert not stock.release(0.45)
    assert len(stock.release(0.6)) == 2


def test_token_that_expired_while_the_entry_paused_is_void() -> None:
    """Guards against tokens of an earlier window that are used together."""
    stock, _ = settle(Allotment(tokens=1, first_wait=0.4), 'r-1')
    assert stock.find('r-1', LOCAL, 1.5) is None


def test_tokens_are_prefetched_with_much_demand_and_expire() -> None:
    stock, _ = settle(Allotment(tokens=6), 'r-1', 'r-2', 'r-3', 'r-4')
    assert stock.count_wanted(0) == 0
    assert isinstance(stock.find('r-5', LOCAL, 0.9), Token)
    assert stock.find('r-6', LOCAL, 1.1) is None
    busy, _ = settle(Allotment(tokens=20), *map(str, range(20)))
    assert busy.count_wanted(0) == 2
