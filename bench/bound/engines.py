"""Engines in virtual time, by the formula that the platform publishes.

An engine works in passes. One with writers does a number of steps for all of
them and reads a chunk at most in each step; one without reads a chunk.
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
    """A prompt on its way; `parts_left` of it are still being read."""

    prompt: Prompt
    first_engine: int
    parts_left: int
    events_left: int
    first_s: float | None = None
    last_s: float = 0
    longest_gap_s: float = 0
    ended_s: float | None = None

    @property
    def is_on_time(self) -> bool:
        """Tell whether the first event and all pauses were as allowed."""
        kind = self.prompt.kind
        if self.first_s is None or self.ended_s is None:
            return False
        return (
            self.first_s - self.prompt.arrived_s <= kind.aim_s
            and self.longest_gap_s <= kind.gap_s
        )

    @property
    def worth(self) -> float:
        """What the stream has earned."""
        if self.is_on_time:
            return self.prompt.worth
        if self.ended_s is None:
            return 0
        taken_s = self.ended_s - self.prompt.arrived_s
        return self.prompt.late_worth * (taken_s <= self.prompt.kind.deadline_s)


class Reading(msgspec.Struct, eq=False):
    """A part of a prompt that an engine reads."""

    stream: Stream
    tokens_left: float
    s_per_token: float


class SimEngine:
    """One engine: what it reads, for whom it writes, its pass under way."""

    def __init__(
        self,
        profile: EngineProfile,
        on_read: Callable[[Stream, float], None],
        on_end: Callable[[Stream, float], None],
    ) -> None:
        """Start idle; `on_read` is told of each part, `on_end` of streams."""
        self._profile = profile
        self._on_read = on_read
        self._on_end = on_end
        self._helping: deque[Reading] = deque()
        self._reading: deque[Reading] = deque()
        self._writers: list[Stream] = []
        self.pass_ends_s: float | None = None
        self._read_in_pass: list[Stream] = []

    def read(self, stream: Stream, parts: int, *, is_helping: bool) -> None:
        """Take a part of a prompt to read."""
        tokens = stream.prompt.prompt_tokens
        reading = Reading(
            stream,
            tokens / parts,
            prefill_time_s(self._profile, tokens) / tokens,
        )
        (self._helping if is_helping else self._reading).append(reading)

    def write(self, stream: Stream) -> None:
        """Write for a stream whose parts have all been read."""
        self._writers.append(stream)

    def begin_pass(self, now: float) -> None:
        """Begin a pass, if there is work and none is under way."""
        if self.pass_ends_s is not None or not self._has_work():
            return
        steps = self._profile.steps_per_pass if self._writers else 1
        context = sum(one.prompt.prompt_tokens for one in self._writers)
        taken_s = decode_pass_time_s(self._profile, len(self._writers), context)
        taken_s += self._read_chunks(steps * self._profile.chunk_tokens)
        self.pass_ends_s = now + taken_s

    def end_pass(self, now: float) -> None:
        """Give the events and parts of the pass that ends now."""
        self.pass_ends_s = None
        for stream in tuple(self._writers):
            self._give_event(stream, now)
        done = tuple(self._read_in_pass)
        self._read_in_pass.clear()
        for stream in done:
            self._on_read(stream, now)

    def _has_work(self) -> bool:
        return bool(self._writers or self._reading or self._helping)

    def _read_chunks(self, tokens: float) -> float:
        taken_s: float = 0
        for queue in (self._helping, self._reading):
            while queue and tokens > 0:
                reading = queue[0]
                share = min(tokens, reading.tokens_left)
                reading.tokens_left -= share
                tokens -= share
                taken_s += share * reading.s_per_token
                if reading.tokens_left <= 0:
                    self._read_in_pass.append(queue.popleft().stream)
        return taken_s

    def _give_event(self, stream: Stream, now: float) -> None:
        if stream.first_s is None:
            stream.first_s = now
        else:
            gap_s = now - stream.last_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_s = now
        stream.events_left -= 1
        if stream.events_left <= 0:
            stream.ended_s = now
            self._writers.remove(stream)
            self._on_end(stream, now)
