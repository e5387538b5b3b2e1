"""How much slower than its published figures an engine works.

Reports of engines lag and cost a call. The pauses between the events of the
streams that pass here cost nothing. What else an engine reads only adds to a
pause, so the shortest one of late tells its pace.
"""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# Of this window and the one before it the shortest pause counts.
WINDOW_S: Final = 1.5
# Below this it is jitter of the network and of clocks.
SLOW_FROM: Final = 1.3


class _Window(msgspec.Struct):
    began_s: float
    shortest: float = float('inf')
    before: float = float('inf')


class EnginePaces:
    """The paces of engines: 1 as published, above for slower ones."""

    def __init__(self, clock: Clock) -> None:
        """Start with all as published."""
        self._clock = clock
        self._windows: dict[UpstreamId, _Window] = {}

    def note_pause(
        self,
        upstream: UpstreamId,
        pause_s: float,
        expected_s: float,
    ) -> None:
        """Note a pause between two events, and the least that is expected."""
        window = self._windows.setdefault(upstream, self._open())
        self._turn(window)
        window.shortest = min(window.shortest, pause_s / expected_s)

    def pace(self, upstream: UpstreamId) -> float:
        """Return the engine's pace, 1 where nothing was seen of late."""
        window = self._windows.get(upstream)
        if window is None:
            return 1
        self._turn(window)
        ratio = min(window.shortest, window.before)
        is_slow = SLOW_FROM < ratio < float('inf')
        return ratio if is_slow else 1

    def _open(self) -> _Window:
        return _Window(self._clock.now())

    def _turn(self, window: _Window) -> None:
        passed = (self._clock.now() - window.began_s) // WINDOW_S
        if passed >= 1:
            window.before = window.shortest if passed < 2 else float('inf')
            window.shortest = float('inf')
            window.began_s += passed * WINDOW_S
