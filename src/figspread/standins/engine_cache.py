"""The prefix cache of a stand-in engine.

Prompts are cached in blocks. The key of a prefix is the xxh3_64 hex digest of
all its bytes, so a client that knows the block size can compute it. The cache
has memory of its own, apart from the KV memory of requests, and evicts the
least recently used blocks. Events become visible after `event_lag_s`, and
every `event_gap`-th event is lost.
"""

from collections import OrderedDict, deque
from collections.abc import Sequence
from itertools import takewhile
from typing import Final

import xxhash

from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_text import BYTES_PER_TOKEN
from figspread.upstream.types import CacheEvent

_MAX_EVENTS: Final = 4_096


def list_prefix_keys(prompt: bytes, block_tokens: int) -> Sequence[str]:
    """Return the keys of the prefixes that end at a whole block, in order."""
    block_bytes = block_tokens * BYTES_PER_TOKEN
    digest = xxhash.xxh3_64()
    keys = []
    for end in range(block_bytes, len(prompt) + 1, block_bytes):
        digest.update(prompt[end - block_bytes : end])
        keys.append(digest.hexdigest())
    return keys


class PrefixCache:
    """An LRU cache of prefix keys with a log of its changes."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start empty."""
        self._settings = settings
        self._max_blocks = (
            settings.cache_limit_tokens // settings.cache_block_tokens
        )
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(
            maxlen=_MAX_EVENTS,
        )
        self._seq = 0

    def count_cached(self, prefixes: Sequence[str]) -> int:
        """Return how many leading tokens of a prompt are cached.

        Marks their blocks as recently used.
        """
        cached_keys = list(takewhile(self._blocks.__contains__, prefixes))
        self._mark_recently_used(cached_keys)
        return len(cached_keys) * self._settings.cache_block_tokens

    def add(self, now: float, prefixes: Sequence[str]) -> None:
        """Cache a prompt's prefixes and evict blocks above the limit."""
        fitting = prefixes[: self._max_blocks]
        for key in fitting:
            if key not in self._blocks:
                self._blocks[key] = None
                self._record_event(now, key, is_cached=True)
        self._mark_recently_used(fitting)
        while len(self._blocks) > self._max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event(now, evicted, is_cached=False)

    def list_events(self, now: float, after: int) -> Sequence[CacheEvent]:
        """Return the visible events whose sequence number is above `after`."""
        visible_until = now - self._settings.event_lag_s
        return [
            event
            for recorded_at, event in self._events
            if recorded_at <= visible_until and event.seq > after
        ]

    def _mark_recently_used(self, prefixes: Sequence[str]) -> None:
        # A block is useless without the blocks before it, so the first block
        # becomes the most recent and is evicted last.
        for key in reversed(prefixes):
            self._blocks.move_to_end(key)

    def _record_event(
        self, now: float, prefix: str, *, is_cached: bool
    ) -> None:
        self._seq += 1
        gap = self._settings.event_gap
        if gap and self._seq % gap == 0:
            return
        self._events.append((now, CacheEvent(self._seq, prefix, is_cached)))
