"""Decides how long requests wait for an entry that has no configuration yet.

It answers the load after many entries have started at once: most of its
callers were cut off by the same event and have one attempt left, so a refusal
would be their last answer.
"""

from typing import Final

# Longest wait. Callers of streams disconnect after 2 s without an event at the
# earliest, and the first event takes time too.
WAIT_LIMIT_S: Final = 1.5
# Share of the caller's time that the wait may take. The rest is left for the
# request itself, or for an attempt at another entry.
WAIT_SHARE: Final = 0.33
# How long an entry with a configuration waits to hear from a first peer, and how
# long for a newer configuration that a peer has.
PEER_WAIT_S: Final = 0.3
NEWER_STATE_WAIT_S: Final = 1.0
MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 3.0


def startup_wait_s(time_left_s: float) -> float:
    """Return how many seconds a request with `time_left_s` may wait."""
    return max(0, min(WAIT_LIMIT_S, WAIT_SHARE * time_left_s))


def startup_retry_after_s(unconfigured_s: float) -> float:
    """Return the retry delay, in seconds, after a wait in vain.

    `unconfigured_s` is how long the entry has been without a configuration.
    The cause is mostly an outage of the store, which is expected to last about
    as long again.
    """
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, unconfigured_s))
