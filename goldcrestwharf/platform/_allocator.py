"""Configure the memory allocator of the C library."""

import ctypes

#: Parameter of ``mallopt`` in glibc's ``malloc.h``.
_M_MMAP_THRESHOLD = -3

#: Size in bytes, glibc's default. Bodies are received in blocks of this size.
_LARGE_BYTES = 131_072


def return_large_blocks() -> None:
    """Let the allocator return each large block to the system once it is freed.

    By default glibc raises the size of a large block to that of any that was
    freed. Later ones then lie between smaller ones, and the process keeps most
    of their memory. A C library without the setting is left as it is.
    """
    configure = getattr(ctypes.CDLL(None), 'mallopt', None)
    if configure is not None:
        configure(_M_MMAP_THRESHOLD, _LARGE_BYTES)
