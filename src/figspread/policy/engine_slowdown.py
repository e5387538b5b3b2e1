"""Slowdown of engines relative to their published figures.

Load reports of engines lag and cost a call each, whereas the gaps between the
events of streams that pass through this process can be measured for free.
Prefill of other requests only lengthens a gap, so the smallest recent ratio
of a gap to its expected length shows the engine's speed.
"""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# Length of a measuring window. The slowdown factor is the smallest ratio of a
# measured to an expected gap in the current and the previous window.
WINDOW_S: Final = 1.5
# Smaller ratios are attributed to jitter of the network and the clocks.
SLOWDOWN_THRESHOLD: Final = 1.3


class _Window(msgspec.Struct):
    started_at_s: float
    min_ratio: float = float('inf')
    previous_min_ratio: float = float('inf')


class EngineSlowdowns:
    """Slowdown factors of engines; 1 is the published speed."""

    def __init__(self, clock: Clock) -> None:
        """Start with all engines at their published speed."""
        self._clock = clock
        self._windows: dict[UpstreamId, _Window] = {}

    def record_gap(
        self,
        upstream: UpstreamId,
        pause_s: float,
        expected_s: float,
    ) -> None:
        """Record the gap between two events and the shortest expected gap."""
        window = self._windows.setdefault(upstream, self._open_window())
        self._rotate(window)
        window.min_ratio = min(window.min_ratio, pause_s / expected_s)

    def slowdown_of(self, upstream: UpstreamId) -> float:
        """Return the slowdown factor, or 1 without recent measurements."""
        window = self._windows.get(upstream)
        if window is None:
            return 1
        self._rotate(window)
        ratio = min(window.min_ratio, window.previous_min_ratio)
        is_slow = SLOWDOWN_THRESHOLD < ratio < float('inf')
        return ratio if is_slow else 1

    def _open_window(self) -> _Window:
        return _Window(self._clock.now())

    def _rotate(self, window: _Window) -> None:
        elapsed_windows = (self._clock.now() - window.started_at_s) // WINDOW_S
        if elapsed_windows >= 1:
            window.previous_min_ratio = (
                window.min_ratio if elapsed_windows < 2 else float('inf')
            )
            window.min_ratio = float('inf')
            window.started_at_s += elapsed_windows * WINDOW_S
