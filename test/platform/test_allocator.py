"""Check that large blocks of memory don't become part of the heap."""

import ctypes
import multiprocessing

from goldcrestwharf.platform._allocator import return_large_blocks

BLOCK_BYTES = 200_000
LARGER_BLOCK_BYTES = 1_000_000


FIELDS = (
    'arena',
    'ordblks',
    'smblks',
    'hblks',
    'hblkhd',
    'usmblks',
    'fsmblks',
    'uordblks',
    'fordblks',
    'keepcost',
)

#: ``struct mallinfo2`` of glibc.
Statistics = type(
    'Statistics',
    (ctypes.Structure,),
    {'_fields_': [(name, ctypes.c_size_t) for name in FIELDS]},
)


def count_mapped_bytes() -> int:
    find_statistics = ctypes.CDLL(None).mallinfo2
    find_statistics.restype = Statistics
    return int(find_statistics().hblkhd)


def allocate_after_a_larger_block() -> None:
    return_large_blocks()
    bytearray(LARGER_BLOCK_BYTES).clear()
    before = count_mapped_bytes()
    block = bytearray(BLOCK_BYTES)
    assert count_mapped_bytes() - before >= len(block)


def test_large_block_is_mapped_after_a_larger_one_was_freed() -> None:
    """Guards against memory that the process keeps after large bodies."""
    child = multiprocessing.get_context('spawn').Process(
        target=allocate_after_a_larger_block
    )
    child.start()
    child.join()
    assert child.exitcode == 0
