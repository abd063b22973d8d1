"""Test which epochs of the store count as a restore."""

from goldcrestwharf.discovery import StoreEpochs


def record_all(*epochs: int) -> list[bool]:
    """Return the restores that a watcher sees, by whether they are direct."""
    known = StoreEpochs()
    restores: list[bool] = []
    known.watch(restores.append)
    for number, epoch in enumerate(epochs):
        known.record(epoch, is_direct=number % 2 == 0)
    return restores


def test_first_known_epoch_is_no_restore() -> None:
    assert not record_all(7)


def test_unknown_equal_and_lower_epochs_are_no_restore() -> None:
    assert not record_all(7, 0, 7, 6)


def test_each_higher_epoch_is_one_restore() -> None:
    assert record_all(7, 8, 8, 10) == [False, False]
    assert record_all(7, 7, 9) == [True]
