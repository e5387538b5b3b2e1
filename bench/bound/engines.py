"""Simulates engines in virtual time by the formula that the platform publishes.

An engine works in passes. With decoding requests, a pass runs a number of steps
for all of them, and each step also prefills at most one chunk. Without them, a
pass prefills one chunk.
"""

from collections import deque
from collections.abc import Callable

import msgspec

from bench.bound.load import Prompt
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)

_MS_PER_S = 1000


class Stream(msgspec.Struct, eq=False):
    """A prompt that is being processed; times are seconds of virtual time.

    `prefill_parts_left` parts of it have not been prefilled yet.
    """

    prompt: Prompt
    primary_engine: int
    prefill_parts_left: int
    events_left: int
    first_event_s: float | None = None
    last_event_s: float = 0
    longest_gap_s: float = 0
    ended_s: float | None = None

    @property
    def is_on_time(self) -> bool:
        """Whether the first event and all gaps met their targets."""
        kind = self.prompt.kind
        if self.first_event_s is None or self.ended_s is None:
            return False
        return (
            self.first_event_s - self.prompt.arrived_s <= kind.target_latency_s
            and self.longest_gap_s <= kind.target_gap_s
        )

    @property
    def earned_worth(self) -> float:
        """Full worth if on time, late worth until the deadline, else 0."""
        if self.is_on_time:
            return self.prompt.worth
        if self.ended_s is None:
            return 0
        duration_s = self.ended_s - self.prompt.arrived_s
        return self.prompt.late_worth * (
            duration_s <= self.prompt.kind.deadline_s
        )


class PrefillPart(msgspec.Struct, eq=False):
    """A part of a prompt that an engine prefills."""

    stream: Stream
    tokens_left: float
    s_per_token: float


class SimulatedEngine:
    """An engine with its prefill queues, decoding streams and current pass.

    Prefill for other engines' streams goes before that for its own, the newest
    first. Own streams beyond the engine's slots wait until one has finished.
    """

    def __init__(
        self,
        profile: EngineProfile,
        on_prefilled: Callable[[Stream, float], None],
        on_finished: Callable[[Stream, float], None],
        on_event: Callable[[Stream, float], None] | None = None,
    ) -> None:
        """Start idle.

        `on_prefilled` is called for each prefilled part, `on_finished` for each
        finished stream, `on_event` before each event, with the time. Set
        `slowdown` to make the engine slower than its profile.
        """
        self._profile = profile
        self._on_prefilled = on_prefilled
        self._on_finished = on_finished
        self._on_event = on_event
        self.slowdown: float = 1
        self._helper_prefills: deque[PrefillPart] = deque()
        self._own_prefills: deque[PrefillPart] = deque()
        self._waiting: deque[PrefillPart] = deque()
        self._running = 0
        self._decoding: list[Stream] = []
        self.pass_ends_s: float | None = None
        self._prefilled_in_pass: list[Stream] = []

    def add_prefill(
        self, stream: Stream, parts: int, *, is_helper: bool
    ) -> None:
        """Queue one of `parts` equal parts of a prompt for prefill."""
        tokens = stream.prompt.prompt_tokens
        part = PrefillPart(
            stream,
            tokens / parts,
            prefill_time_s(self._profile, tokens) / tokens,
        )
        if is_helper:
            self._helper_prefills.appendleft(part)
        else:
            self._waiting.append(part)
            self._admit()

    def start_decode(self, stream: Stream, now: float) -> None:
        """Start decoding a stream whose parts have all been prefilled.

        Its first event comes with the end of the prefill.
        """
        self._decoding.append(stream)
        self._emit_event(stream, now)

    def begin_pass(self, now: float) -> None:
        """Begin a pass, if there is work and no pass is running."""
        if self.pass_ends_s is not None or not self._has_work():
            return
        steps = self._profile.steps_per_pass if self._decoding else 1
        context_tokens = sum(
            stream.prompt.prompt_tokens for stream in self._decoding
        )
        duration_s = decode_pass_time_s(
            self._profile, len(self._decoding), context_tokens
        )
        duration_s += self._prefill_chunks(steps * self._profile.chunk_tokens)
        self.pass_ends_s = now + duration_s * self.slowdown

    def end_pass(self, now: float) -> None:
        """End the pass: emit its events and report the parts it prefilled."""
        self.pass_ends_s = None
        for stream in tuple(self._decoding):
            self._emit_event(stream, now)
        done = tuple(self._prefilled_in_pass)
        self._prefilled_in_pass.clear()
        for stream in done:
            self._on_prefilled(stream, now)

    def _has_work(self) -> bool:
        return bool(
            self._decoding or self._own_prefills or self._helper_prefills
        )

    def _prefill_chunks(self, tokens: float) -> float:
        duration_s: float = 0
        for queue in (self._helper_prefills, self._own_prefills):
            while queue and tokens > 0:
                part = queue[0]
                chunk_tokens_taken = min(tokens, part.tokens_left)
                part.tokens_left -= chunk_tokens_taken
                tokens -= chunk_tokens_taken
                duration_s += chunk_tokens_taken * part.s_per_token
                if part.tokens_left <= 0:
                    self._prefilled_in_pass.append(queue.popleft().stream)
        return duration_s

    def _emit_event(self, stream: Stream, now: float) -> None:
        if self._on_event is not None:
            self._on_event(stream, now)
        if stream.first_event_s is None:
            stream.first_event_s = now
        else:
            gap_s = now - stream.last_event_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_event_s = now
        stream.events_left -= 1
        if stream.events_left <= 0:
            stream.ended_s = now
            self._decoding.remove(stream)
            self._running -= 1
            self._admit()
            self._on_finished(stream, now)

    def _admit(self) -> None:
        while self._waiting and self._running < self._profile.slots:
            self._running += 1
            self._own_prefills.append(self._waiting.popleft())
