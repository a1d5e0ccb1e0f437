"""Returns the memory of large buffers to the system as soon as they are freed.

The allocator of glibc maps large blocks separately and unmaps them when they
are freed, but raises the size from which on it does so (up to 32 MB) with each
block that it unmaps, and twice that size may then stay free at the top of each
of its arenas, of which there are eight per core. malloc_trim() does not return
that part. Without a fixed
threshold, the process keeps this memory after a burst of long responses.
"""

import ctypes

# Parameter of mallopt(), from malloc.h.
_M_MMAP_THRESHOLD = -3
# The initial threshold of glibc; once it is set, it no longer rises.
_THRESHOLD_BYTES = 131_072


def map_separately() -> bool:
    """Fix the size from which on blocks are mapped separately.

    :returns: whether the C library can do so.
    """
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is None:
        return False
    return mallopt(_M_MMAP_THRESHOLD, _THRESHOLD_BYTES) == 1
