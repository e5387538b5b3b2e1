"""Limits how long an entry waits for the store's answers.

An answer may be lost while the store and all other connections work. A call
that waits for it looks like a watch without changes, so how long each call may
wait bounds how late the entry learns of what the answer told.
"""

from typing import Final

import msgspec

# Time within which entries know what a lost answer told, if the platform states
# none.
DEFAULT_RECOVERY_S: Final = 3.0
# Part of it that is left for asking again, and for passing the answer on to
# entries that don't read the store themselves.
REPEAT_S: Final = 0.75
# A longer watch saves few calls.
MAX_WATCH_S: Final = 6.0
# The store usually answers within milliseconds, a slow one within some seconds.
MAX_ANSWER_S: Final = 1.0
MAX_CALL_S: Final = 3.0


class StoreReadLimits(msgspec.Struct, frozen=True):
    """Limits of the calls that read the store, in seconds.

    A watch asks the store to wait for changes for up to `watch_s`, and its
    answer may take `answer_s` longer. Other reads may take `call_s`.
    """

    watch_s: float
    answer_s: float
    call_s: float


def plan_store_reads(recovery_s: float) -> StoreReadLimits:
    """Return limits by which what a lost answer told is known in time.

    It is known within `recovery_s` seconds of the loss.

    >>> plan_store_reads(5)
    StoreReadLimits(watch_s=3.25, answer_s=1.0, call_s=3.0)
    """
    wait_s = max(recovery_s - REPEAT_S, recovery_s / 2)
    answer_s = min(MAX_ANSWER_S, wait_s / 2)
    return StoreReadLimits(
        watch_s=min(MAX_WATCH_S, wait_s - answer_s),
        answer_s=answer_s,
        call_s=min(MAX_CALL_S, wait_s),
    )
