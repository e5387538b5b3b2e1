"""Selects the entries that watch the store for others of their data centre.

It answers fleets of many entries: a watch is a call that ends with each change,
so calls to the store would grow with entries times changes if each watched.
"""

import math
from collections.abc import Iterable
from typing import Final

import msgspec

from figspread.ids import PeerId

# Fewest watchers of a fleet. If one is cut off from the store and hasn't found
# out, the versions that the others announce show what it has missed.
MIN_WATCHERS: Final = 3
# Where watchers are lacking, entries resume one after the other in the order of
# their rank, so that the first to succeed spares the others the calls.
RESUME_STEP_S: Final = 0.1
RESUME_DELAY_MAX_S: Final = 0.4


class WatcherRank(msgspec.Struct, frozen=True, order=True):
    """The rank of an entry as a watcher; the lowest watches.

    A watcher sends what it has read to its whole data centre, so those with
    the largest links go first.
    """

    negative_link_mbps: float
    entry: PeerId


def rank_watcher(entry: PeerId, link_mbps: float) -> WatcherRank:
    """Return the rank of an entry with a link of `link_mbps`."""
    return WatcherRank(-link_mbps, entry)


def count_watchers(data_centres: int) -> int:
    """Return how many entries watch in each of so many data centres."""
    return math.ceil(MIN_WATCHERS / max(1, data_centres))


def is_relieved(
    own: WatcherRank, watching: Iterable[WatcherRank], watchers: int
) -> bool:
    """Return whether `watchers` entries of a better rank watch already."""
    return sum(other < own for other in watching) >= watchers


def resume_delay_s(own: WatcherRank, idle: Iterable[WatcherRank]) -> float:
    """Return how long to leave it to `idle` entries of a better rank."""
    ahead = sum(other < own for other in idle)
    return min(ahead * RESUME_STEP_S, RESUME_DELAY_MAX_S)
