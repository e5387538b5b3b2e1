"""Load reports of a stand-in engine, which are out of date by a set lag."""

from collections import deque
from collections.abc import Callable
from typing import Final, Self

import msgspec

from figspread.standins.engine_requests import RunRequest
from figspread.upstream.types import EngineReport

_SNAPSHOTS_PER_LAG: Final = 5


class PrefillCounts(msgspec.Struct, frozen=True):
    """Counts of accepted prompts and of the tokens to prefill for them.

    `saved_tokens` needed no prefill, as they were in the prefix cache.
    """

    requests: int = 0
    prefill_tokens: int = 0
    saved_tokens: int = 0

    def add(self, request: RunRequest) -> Self:
        """Return the counts with `request` added."""
        uncached_tokens = msgspec.structs.replace(
            request, cached_tokens=0
        ).prefill_tokens
        return msgspec.structs.replace(
            self,
            requests=self.requests + 1,
            prefill_tokens=self.prefill_tokens + request.prefill_tokens,
            saved_tokens=self.saved_tokens
            + uncached_tokens
            - request.prefill_tokens,
        )


class LaggingReport:
    """Returns reports that are at least `lag_s` seconds old.

    Until there is one of that age, returns the oldest one.
    """

    def __init__(self, lag_s: float, build: Callable[[], EngineReport]) -> None:
        """Take snapshots with `build`."""
        self._lag_s = lag_s
        self._build_report = build
        self._snapshots: deque[tuple[float, EngineReport]] = deque()

    def take_snapshot(self, now: float) -> None:
        """Take a snapshot unless the newest one is recent enough.

        Snapshots are a fifth of the lag apart.
        """
        interval = self._lag_s / _SNAPSHOTS_PER_LAG
        if self._snapshots and now - self._snapshots[-1][0] < interval:
            return
        self._snapshots.append((now, self._build_report()))
        while len(self._snapshots) > 1 and self._is_old(now, 1):
            self._snapshots.popleft()

    def get(self, now: float) -> tuple[float, EngineReport]:
        """Return the report's age in seconds and the report."""
        self.take_snapshot(now)
        taken, report = self._snapshots[0]
        return now - taken, report

    def _is_old(self, now: float, index: int) -> bool:
        return now - self._snapshots[index][0] >= self._lag_s
