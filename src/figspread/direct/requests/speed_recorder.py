"""Measures the speed of the engine that runs one attempt."""

import math
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.direct.model import Upstream
from figspread.direct.state.placements import PlacementRegistry
from figspread.direct.state.slowdowns import SlowdownRegistry
from figspread.direct.state.work_history import HISTORY_S
from figspread.policy.engine_slowdown import EngineSlowdowns
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)
from figspread.policy.notices import Incarnation

_MS_PER_S: Final = 1000


class MeasuredAttempt(msgspec.Struct, frozen=True):
    """An attempt at `upstream`, and what its times depend on.

    `engine` is `None` at a plain service, which is not measured. A resumed
    stream reads more than its prompt.
    """

    engine: EngineProfile | None
    upstream: Upstream
    helpers: tuple[Upstream, ...]
    prompt_tokens: int
    is_resumed: bool = False


class SpeedRecorder:
    """Compares the times of one attempt with what its engine should take.

    Work of other requests lengthens them, and must not make an engine look slow:
    all that may have run there meanwhile counts with its whole length.
    """

    def __init__(
        self,
        placements: PlacementRegistry,
        slowdowns: SlowdownRegistry,
        clock: Clock,
        attempt: MeasuredAttempt,
    ) -> None:
        """Measure `attempt`, beside the work that is in `placements`."""
        self._placements = placements
        self._slowdowns = slowdowns
        self._clock = clock
        self._attempt = attempt
        self._sent_s: float | None = None

    def record_send(self) -> None:
        """Record that the request is about to be sent."""
        self._sent_s = self._clock.now()

    def record_first_output(self) -> None:
        """Record the first output, before its prefill is recorded as done."""
        attempt, sent_s = self._attempt, self._sent_s
        if attempt.engine is None or sent_s is None or attempt.is_resumed:
            return
        self._sent_s = None
        parts = 1 + len(attempt.helpers)
        shortest_s = prefill_time_s(
            attempt.engine, attempt.prompt_tokens, parts
        )
        if not shortest_s:
            return
        elapsed_s = self._clock.now() - sent_s
        longest_s = float('inf')
        # With helpers it is unknown which of the engines was slow.
        if parts == 1:
            longest_s = self._estimate_longest_s(
                attempt.engine, sent_s, is_first=True
            )

        def record(table: EngineSlowdowns, run: Incarnation) -> None:  # noqa: WPS430
            table.record_first_token(run, elapsed_s, shortest_s, longest_s)

        for upstream in (attempt.upstream, *attempt.helpers):
            self._slowdowns.measure(upstream, record)

    def record_gap(self, gap_s: float) -> None:
        """Record the gap between two events that each arrived alone."""
        attempt = self._attempt
        if attempt.engine is None:
            return
        shortest_s = decode_pass_time_s(
            attempt.engine, 1, attempt.prompt_tokens
        )
        longest_s = self._estimate_longest_s(
            attempt.engine, self._clock.now() - gap_s, is_first=False
        )

        def record(table: EngineSlowdowns, run: Incarnation) -> None:  # noqa: WPS430
            table.record_gap(run, gap_s, shortest_s, longest_s)

        self._slowdowns.measure(attempt.upstream, record)

    def _estimate_longest_s(
        self, engine: EngineProfile, since_s: float, *, is_first: bool
    ) -> float:
        """Return the time from `since_s` on that known work may take at most.

        It is infinite if work that ended since then may be forgotten.
        """
        if self._clock.now() - since_s > HISTORY_S:
            return float('inf')
        upstream = self._attempt.upstream.upstream
        load = self._placements.occupancy(upstream)
        ended = self._placements.history.sum_since(upstream, since_s)
        prefill_s = ended.prefill_s + sum(load.prefilling.values())
        pass_s = decode_pass_time_s(
            engine,
            max(1, load.requests + ended.requests),
            max(load.kv_tokens + ended.kv_tokens, self._attempt.prompt_tokens),
        )
        if not is_first:
            return pass_s + prefill_s
        # A pass may have just begun when the request arrives, and each further
        # one reads a limited part of the prompts.
        chunks_ms = engine.steps_per_pass * (
            engine.chunk_tokens / engine.prefill_tokens_per_ms
        )
        passes = 1 + math.ceil(prefill_s * _MS_PER_S / chunks_ms)
        return prefill_s + passes * pass_s
