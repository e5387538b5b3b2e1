"""Records when the load itself runs late.

Callers and upstreams share one event loop. What they see at a time when it stalls
has happened earlier, which a trace of a late answer has to take into account.
"""

import asyncio
from types import TracebackType
from typing import Final, Self

CHECK_INTERVAL_S: Final = 0.02
MIN_STALL_S: Final = 0.1


class StallMonitor:
    """Checks in regular intervals how late the event loop is.

    `stalls` has the end, in seconds since the start of the monitor, and the length
    of each stall.
    """

    def __init__(self) -> None:
        """Start without stalls; the monitor runs while its context is open."""
        self.stalls: list[tuple[float, float]] = []
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> Self:
        """Start the checks."""
        self._check_at(self._started_s)
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _exc: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_at(self, due_s: float) -> None:
        now = self._loop.time()
        if now - due_s > MIN_STALL_S:
            self.stalls.append(
                (round(now - self._started_s, 2), round(now - due_s, 2))
            )
        next_s = now + CHECK_INTERVAL_S
        self._timer = self._loop.call_at(next_s, self._check_at, next_s)
