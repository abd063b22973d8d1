"""Test which responses are refused for lack of memory."""

import math

from goldcrestwharf.transfers import (
    RefusedResponse,
    ResponseMemory,
    ResponseShare,
)

_MB = 1_000_000

#: Memory of which responses may take 48 MB.
_MEMORY = 128 * _MB


class Responses:
    """Responses on a manual clock; ``refused`` has those that were refused."""

    def __init__(self, memory_bytes: float = _MEMORY) -> None:
        self.now: float = 0
        self.other_use = 0
        self.refused: list[ResponseShare] = []
        self.reports: list[RefusedResponse] = []
        self.memory = ResponseMemory(
            memory_bytes=memory_bytes,
            find_other_use=lambda: self.other_use,
            clock=lambda: self.now,
            report=self.reports.append,
        )

    def open(self, group: str = 'a', size: int = 0) -> ResponseShare:
        share = self.memory.open(group)
        share.refuse = lambda: self.refused.append(share)
        share.hold(size)
        return share

    def receive(self, share: ResponseShare, size: int) -> bool:
        """Receive a response whole at once; return whether it arrived."""
        for held in range(65_536, size, 65_536):
            share.hold(held)
            if share in self.refused:
                return False
        share.hold(0)
        return True


def test_responses_take_no_more_than_their_fraction_together() -> None:
    responses = Responses()
    for _ in range(100):
        share = responses.open()
        for size in range(0, 4 * _MB, 65_536):
            if share not in responses.refused:
                share.hold(size)
            assert responses.memory.used <= 48 * _MB
    assert responses.refused


def test_large_responses_within_the_memory_all_arrive() -> None:
    responses = Responses()
    shares = [responses.open() for _ in range(11)]
    for size in range(65_536, 4_194_304, 65_536):
        for share in shares:
            share.hold(size)
    assert not responses.refused


def test_slow_responses_without_end_never_displace_a_whole_one() -> None:
    """Also if it is larger than each of them, and on the same route."""
    responses = Responses()
    for _ in range(40):
        responses.open('a', _MB)
    responses.now = 0.5
    for _ in range(20):
        assert responses.receive(responses.open('a'), 4_194_304)
    assert responses.memory.used <= 48 * _MB


def test_fast_responses_without_end_never_displace_those_of_other_routes() -> (
    None
):
    responses = Responses()
    sound = responses.open('sound', 2 * _MB)
    responses.now = 2
    for _ in range(40):
        responses.open('a', 4 * _MB)
    assert responses.refused
    assert sound not in responses.refused


def test_small_responses_are_never_refused() -> None:
    responses = Responses(_MB)
    for _ in range(100):
        responses.open(size=65_536)
    assert not responses.refused


def test_other_use_leaves_half_of_the_memory_to_responses() -> None:
    responses = Responses()
    responses.other_use = 100 * _MB
    for _ in range(6):
        responses.open(size=4 * _MB)
    assert not responses.refused
    responses.open(size=_MB)
    assert responses.refused


def test_refused_response_gives_its_memory_back_and_is_reported() -> None:
    responses = Responses()
    for _ in range(13):
        responses.open('a', 4 * _MB)
    assert responses.reports == [
        RefusedResponse(
            group='a', size=4 * _MB, used=52 * _MB, allowed=48 * _MB
        )
    ]
    assert responses.memory.used == 48 * _MB


def test_memory_without_a_limit_is_never_refused() -> None:
    responses = Responses(math.inf)
    for _ in range(1000):
        responses.open(size=4 * _MB)
    assert not responses.refused
