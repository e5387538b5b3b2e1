"""Tells which engines may run requests that a started entry doesn't know of.

It answers the load after all entries have lost power: engines go on with the
requests of lost entries, and all callers come back at once.
"""

from typing import Final

from figspread.clock import Clock
from figspread.ids import UpstreamId

# Time from an entry's start in which engines may still run requests of entries
# that have lost power; most answers are shorter.
UNKNOWN_LOAD_S: Final = 3.0


class UnknownLoad:
    """The engines that no entry has had a first token of since the start."""

    def __init__(self, clock: Clock) -> None:
        """Start with no engine known."""
        self._clock = clock
        self._until_s = clock.now() + UNKNOWN_LOAD_S
        self._known: set[UpstreamId] = set()

    def record_first_token(self, upstream: UpstreamId) -> None:
        """Record that an engine has read a prompt."""
        if self._clock.now() < self._until_s:
            self._known.add(upstream)

    def may_have_unknown(self, upstream: UpstreamId) -> bool:
        """Return whether an engine may run requests that nobody has told of."""
        is_recent = self._clock.now() < self._until_s
        return is_recent and upstream not in self._known
