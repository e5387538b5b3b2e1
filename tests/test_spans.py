"""Tests that spans get memory beside short prompts, and release it."""

import random
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.agent.spans import SpanReservations
from figspread.clock import ManualClock
from figspread.ids import SpanId
from figspread.inner.messages import Load, Reserve

KV_TOKENS = 100
STEP_S = 0.25
SPAN_STEPS = 8
SHORT_PROMPT_STEPS = 12
# Each span waits for the spans before it and the short prompts that run.
MAX_STEPS_PER_SPAN = SPAN_STEPS + 2 * SHORT_PROMPT_STEPS + 12


class FakeEngine:
    """An engine whose free memory is always filled with short prompts."""

    def __init__(self, clock: ManualClock) -> None:
        """Start empty."""
        self._reserved = 0
        self._short_prompts: list[int] = []
        self.spans = SpanReservations(self, clock)

    def set_reserved_kv_tokens(self, kv_tokens: int) -> None:
        """Reserve memory that short prompts can't use."""
        self._reserved = kv_tokens

    def load(self) -> Load:
        """Return a load with the free memory."""
        used = 10 * len(self._short_prompts)
        free = KV_TOKENS - self._reserved - used
        return Load(free_kv_tokens=max(0, free))

    def step(self, rng: random.Random) -> None:
        """Advance the short prompts and start as many as fit."""
        self._short_prompts = [
            steps_left - 1
            for steps_left in self._short_prompts
            if steps_left > 1
        ]
        while self.load().free_kv_tokens >= 10:
            self._short_prompts.append(rng.randint(1, SHORT_PROMPT_STEPS))


class FakeSpan:
    """A span that asks its engines in a fixed order, as an entry does."""

    def __init__(
        self,
        number: int,
        engines: Sequence[FakeEngine],
        tokens: int,
    ) -> None:
        """Start without reservations."""
        self._name = SpanId('span-{0}'.format(number))
        self._engines = engines
        self._tokens = tokens
        self._steps_left = SPAN_STEPS

    @property
    def has_ended(self) -> bool:
        """Whether the span has finished."""
        return not self._steps_left

    def step(self) -> None:
        """Reserve memory or run one step; release the memory at the end."""
        request = Reserve(self._name, self._tokens, 30_000)
        if self.has_ended:
            return
        if all(
            target.spans.reserve(request).granted for target in self._engines
        ):
            self._steps_left -= 1
        if self.has_ended:
            for engine in self._engines:
                engine.spans.release(self._name)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    shapes=st.lists(
        st.tuples(
            st.lists(st.integers(0, 3), min_size=2, max_size=3, unique=True),
            st.integers(40, 90),
        ),
        min_size=1,
        max_size=4,
    ),
    seed=st.integers(0, 1000),
)
def test_competing_spans_all_finish_beside_short_prompts(
    shapes: list[tuple[list[int], int]],
    seed: int,
) -> None:
    """Competing spans neither deadlock nor starve.

    Each holds memory on some engines while it waits for others, and short
    prompts take all memory that becomes free.
    """
    clock = ManualClock()
    rng = random.Random(seed)
    engines = [FakeEngine(clock) for _ in range(4)]
    spans = [
        FakeSpan(
            number,
            [engines[place] for place in sorted(places)],
            tokens,
        )
        for number, (places, tokens) in enumerate(shapes)
    ]
    for _ in range(MAX_STEPS_PER_SPAN * len(spans) * 2):
        clock.advance(STEP_S)
        for engine in engines:
            engine.step(rng)
        rng.shuffle(spans)
        for span in spans:
            span.step()
    assert all(span.has_ended for span in spans)
    clock.advance(60)
    for engine in engines:
        engine.spans.expire()
        engine.step(rng)
        assert engine.load().free_kv_tokens < 10


def test_span_that_stops_asking_holds_no_memory() -> None:
    """Memory held back for a span is freed once it stops asking."""
    clock = ManualClock()
    engine = FakeEngine(clock)
    engine.step(random.Random(1))
    for _ in range(8):
        engine.spans.reserve(Reserve(SpanId('gone'), 90, 30_000))
        clock.advance(STEP_S)
    assert not engine.spans.has_reservation(SpanId('gone'))
    clock.advance(10)
    engine.spans.expire()
    assert engine.spans.reserve(Reserve(SpanId('other'), 0, 1000)).granted
    for _ in range(SHORT_PROMPT_STEPS):
        engine.step(random.Random(1))
    assert engine.load().free_kv_tokens == 0
