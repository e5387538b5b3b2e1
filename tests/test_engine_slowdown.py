"""Slowdown factors of engines: evidence, news between entries, and recovery."""

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.direct.model import Upstream, UpstreamState
from figspread.direct.requests.speed_recorder import (
    MeasuredAttempt,
    SpeedRecorder,
)
from figspread.direct.state.placements import (
    Placement,
    PlacementRegistry,
)
from figspread.direct.state.slowdowns import (
    RENEWAL_S,
    UNLISTED_TTL_S,
    SlowdownRegistry,
)
from figspread.direct.state.work_history import HISTORY_S
from figspread.ids import DataCentreId, PlacementId, ServiceName, UpstreamId
from figspread.inner.entry_messages import SlowdownRow
from figspread.policy.engine_slowdown import (
    CONFIRMATION_TTL_S,
    DECAY_HALF_LIFE_S,
    FORGET_S,
    HOLD_S,
    SLOWDOWN_THRESHOLD,
    EngineSlowdowns,
    Measurement,
)
from figspread.policy.engine_time import (
    EngineProfile,
    decode_pass_time_s,
    prefill_time_s,
)
from figspread.policy.notices import Incarnation
from figspread.policy.upstream_load import UpstreamLoad
from figspread.telemetry.logs import Level, Log
from tests.giftwrap_fleet import MemoryLog

PROFILE = EngineProfile(slots=6, kv_tokens=197_200)
PROMPT = 5000
HOME = DataCentreId('a')
PASS_S = decode_pass_time_s(PROFILE, 1, PROMPT)
PREFILL_S = prefill_time_s(PROFILE, PROMPT)


def _make_engine(started_ms: int = 1) -> Upstream:
    return Upstream(
        UpstreamId('e-1'),
        ServiceName('pool'),
        '127.0.0.1:1',
        HOME,
        6,
        UpstreamState.READY,
        started_ms,
    )


ENGINE = _make_engine()
RUN = Incarnation(ENGINE.upstream, ENGINE.started_ms)


class Entry:
    """What one entry knows of engines and placements."""

    def __init__(self, seed: int = 1) -> None:
        """Start without placements, measurements and news."""
        self.clock = ManualClock()
        self.log = MemoryLog()
        self.slowdowns = SlowdownRegistry(
            self.clock,
            random.Random(seed),
            Log(Level.DEBUG, {}, logger=self.log),
        )
        self.slowdowns.subscribe(self)
        self.announced: list[SlowdownRow] = []
        self.placements = PlacementRegistry(self.clock, lambda: None)

    def announce_slowdown(self, run: Incarnation) -> None:
        """Record what is sent to the other entries."""
        row = self.slowdowns.make_row(run)
        assert row is not None
        self.announced.append(row)

    def send(self, name: str = 'own', **overrides: Any) -> SpeedRecorder:
        """Register and send a request, and return its recorder."""
        self.place(name)
        attempt = msgspec.structs.replace(
            MeasuredAttempt(PROFILE, ENGINE, (), PROMPT), **overrides
        )
        recorder = SpeedRecorder(
            self.placements, self.slowdowns, self.clock, attempt
        )
        recorder.record_send()
        return recorder

    def place(
        self, name: str, tokens: int = PROMPT, prefill_s: float = PREFILL_S
    ) -> None:
        """Register work at the engine."""
        self.placements.start(
            Placement(
                PlacementId(name), ENGINE.upstream, tokens, prefill_s=prefill_s
            )
        )

    def begin_output(self, recorder: SpeedRecorder, name: str = 'own') -> None:
        """Record the first token."""
        recorder.record_first_output()
        self.placements.record_prefill_end(PlacementId(name))
        self.clock.advance(0.001)

    def pass_gaps(
        self, recorder: SpeedRecorder, factor: float, count: int
    ) -> None:
        """Record gaps of an engine that is slower by `factor`."""
        for _ in range(count):
            self.clock.advance(PASS_S * factor)
            recorder.record_gap(PASS_S * factor)

    def factor(self, upstream: Upstream = ENGINE, **overrides: Any) -> float:
        """Return the confirmed factor that a request is placed by."""
        is_short = overrides.pop('is_short', True)
        load = UpstreamLoad(upstream.upstream, HOME, 6, **overrides)
        run = Incarnation(upstream.upstream, upstream.started_ms)
        return self.slowdowns.apply(
            load, run, is_short=is_short
        ).confirmed_slowdown

    def list_sources(self, event: str) -> list[str]:
        """Return the sources of the changes that were logged."""
        return [row['source'] for row in self.log.events(event)]

    def make_slow(self, factor: float = 4) -> SpeedRecorder:
        """Let a stream measure a slow engine."""
        recorder = self.send()
        self.clock.advance(PREFILL_S)
        self.begin_output(recorder)
        self.pass_gaps(recorder, factor, 3)
        return recorder


def test_gaps_of_a_slow_engine_confirm_its_factor() -> None:
    """One stream is enough, as an entry meets each engine rarely."""
    entry = Entry()
    recorder = entry.send()
    entry.clock.advance(PREFILL_S)
    entry.begin_output(recorder)
    entry.pass_gaps(recorder, 4, 1)
    assert entry.factor() == 1
    entry.pass_gaps(recorder, 4, 1)
    assert 3.5 < entry.factor() <= 4
    assert [row.upstream for row in entry.announced] == [ENGINE.upstream]
    assert entry.list_sources('engine slow') == ['measurement']


def test_late_first_tokens_confirm_a_factor() -> None:
    """Streams with short answers have too few gaps."""
    entry = Entry()
    for name in ('first', 'second'):
        recorder = entry.send(name)
        entry.clock.advance(0.7)
        entry.begin_output(recorder, name)
        entry.placements.end(PlacementId(name))
    assert entry.factor() > 2


def test_a_single_late_measurement_is_not_believed() -> None:
    """A stall of the network or this process delays one measurement."""
    entry = Entry()
    recorder = entry.send()
    entry.clock.advance(1)
    entry.begin_output(recorder)
    entry.pass_gaps(recorder, 1, 1)
    entry.pass_gaps(recorder, 8, 1)
    entry.pass_gaps(recorder, 1, 1)
    entry.pass_gaps(recorder, 8, 1)
    entry.clock.advance(CONFIRMATION_TTL_S)
    entry.pass_gaps(recorder, 8, 1)
    assert entry.factor() == 1
    assert not entry.announced


@given(
    prefills_s=st.lists(st.floats(0.01, 3), max_size=6),
    contexts=st.lists(st.integers(1000, 190_000), max_size=5),
    ended=st.lists(st.booleans(), min_size=11, max_size=11),
    gaps=st.integers(1, 5),
)
def test_other_work_never_makes_an_engine_look_slow(
    prefills_s: list[float],
    contexts: list[int],
    ended: list[bool],
    gaps: int,
) -> None:
    """An engine at the published speed stays at 1 beside any known work.

    It would be avoided while it is only busy.
    """
    entry = Entry()
    recorder = entry.send()
    for number, tokens in enumerate(contexts):
        entry.place('writer-{0}'.format(number), tokens, 0)
    for number, prefill_s in enumerate(prefills_s):
        entry.place('reader-{0}'.format(number), 0, prefill_s)
    writers = 1 + len(contexts) + len(prefills_s)
    pass_s = decode_pass_time_s(PROFILE, writers, PROMPT + sum(contexts))
    entry.clock.advance(PREFILL_S + pass_s + sum(prefills_s))
    names = [
        *('writer-{0}'.format(number) for number in range(len(contexts))),
        *('reader-{0}'.format(number) for number in range(len(prefills_s))),
    ]
    for name, has_ended in zip(names, ended, strict=False):
        if has_ended:
            entry.placements.end(PlacementId(name))
    entry.begin_output(recorder)
    for _ in range(gaps):
        left_s = sum(
            entry.placements.occupancy(ENGINE.upstream).prefilling.values()
        )
        entry.clock.advance(pass_s + left_s)
        recorder.record_gap(pass_s + left_s)
        pass_s = decode_pass_time_s(
            PROFILE,
            entry.placements.occupancy(ENGINE.upstream).requests,
            entry.placements.occupancy(ENGINE.upstream).kv_tokens,
        )
        entry.placements.history.drop_old()
    assert entry.factor() == 1
    assert not entry.announced


@pytest.mark.parametrize(
    'overrides',
    [
        {'helpers': (_make_engine(2),)},
        {'is_resumed': True},
        {'engine': None},
        {'prompt_tokens': 0},
    ],
)
def test_first_tokens_with_other_causes_are_no_evidence(
    overrides: dict[str, Any],
) -> None:
    """A slow helper, or tokens read again, delay the first token too."""
    entry = Entry()
    for name in ('p', 'q', 'r'):
        recorder = entry.send(name, **overrides)
        entry.clock.advance(2)
        entry.begin_output(recorder, name)
        entry.placements.end(PlacementId(name))
    assert entry.factor() == 1


def test_times_longer_than_the_history_are_no_evidence() -> None:
    """Work that ended in a longer time is forgotten."""
    entry = Entry()
    for name in ('p', 'q', 'r'):
        recorder = entry.send(name)
        entry.place('before-{0}'.format(name), prefill_s=HISTORY_S)
        entry.placements.end(PlacementId('before-{0}'.format(name)))
        entry.clock.advance(HISTORY_S + 1)
        entry.placements.history.drop_old()
        entry.begin_output(recorder, name)
        entry.placements.end(PlacementId(name))
    assert entry.factor() == 1


def test_one_gap_at_the_published_speed_ends_a_slowdown() -> None:
    """A recovered engine gets load again at once, from all entries."""
    entry = Entry()
    recorder = entry.make_slow()
    assert entry.factor() > 3
    entry.pass_gaps(recorder, 1, 1)
    assert entry.factor() == 1
    assert entry.factor(is_short=False) == 1
    assert [row.factor for row in entry.announced][-1] == 1
    assert entry.list_sources('engine recovered') == ['measurement']


def test_only_one_short_prompt_tries_an_engine_again() -> None:
    """An engine that is still slow must not delay many requests or long ones."""
    entry = Entry()
    entry.make_slow()
    factor = entry.factor()
    entry.clock.advance(HOLD_S - 0.1)
    assert entry.factor() == factor
    entry.clock.advance(HOLD_S + 4 * DECAY_HALF_LIFE_S)
    assert entry.factor() == 1
    assert entry.factor(requests=1) == factor
    assert entry.factor(prefill_backlog_s=0.1) == factor
    assert entry.factor(is_short=False) == factor
    entry.slowdowns.update([ENGINE])
    assert entry.list_sources('engine recovered') == ['decay']
    entry.clock.advance(FORGET_S)
    assert entry.factor(is_short=False) == 1


def test_entries_try_an_engine_at_different_times() -> None:
    """Entries that got the same news would all try at the same moment."""
    entries = [Entry(seed) for seed in range(23)]
    for entry in entries:
        entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 1, 4), 'peer')
        entry.clock.advance(1.5 * HOLD_S)
    holding = sum(entry.factor() == 4 for entry in entries)
    assert 5 < holding < 18


def test_a_measured_factor_is_renewed_at_other_entries() -> None:
    """Entries without requests at a slow engine would forget it."""
    entry = Entry()
    recorder = entry.make_slow()
    assert len(entry.announced) == 1
    entry.pass_gaps(recorder, 4, 2)
    assert len(entry.announced) == 1
    entry.clock.advance(RENEWAL_S)
    entry.pass_gaps(recorder, 4, 2)
    assert len(entry.announced) == 2
    # A peer has told it meanwhile, so this entry need not.
    entry.clock.advance(RENEWAL_S)
    entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 1, 4), 'peer')
    entry.pass_gaps(recorder, 4, 2)
    assert len(entry.announced) == 2
    entry.pass_gaps(recorder, 2, 3)
    assert entry.announced[-1].factor < 2.5


ROWS = st.lists(
    st.builds(
        SlowdownRow,
        st.just(ENGINE.upstream),
        st.integers(1, 2),
        st.sampled_from((1.0, 1.5, 2.0, 4.0)),
        st.integers(0, 3000),
    ),
    max_size=6,
)


@given(rows=ROWS, rng=st.randoms(use_true_random=False))
def test_news_in_any_order_lead_to_the_same_factors(
    rows: list[SlowdownRow], rng: random.Random
) -> None:
    """Entries hear of measurements in different orders, some of them twice.

    Entries that disagree would send load to engines that others avoid.
    """
    shuffled = [*rows, *rows]
    rng.shuffle(shuffled)
    entries = [Entry(), Entry()]
    for entry, news in zip(entries, (rows, shuffled), strict=True):
        entry.clock.advance(10)
        for row in news:
            entry.slowdowns.merge(row, 'peer')
    for started_ms in (1, 2):
        factors = {entry.factor(_make_engine(started_ms)) for entry in entries}
        assert len(factors) == 1


def test_older_news_don_t_replace_a_newer_measurement() -> None:
    """News that arrive late would bring a slowdown back, or end one."""
    entry = Entry()
    recorder = entry.make_slow()
    factor = entry.factor()
    entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 1, 1, 900), 'peer')
    assert entry.factor() == factor
    entry.pass_gaps(recorder, 1, 1)
    entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 1, 4, 900), 'peer')
    assert entry.factor() == 1
    # Other entries may have taken that over, so the next measurement is told.
    told = len(entry.announced)
    entry.pass_gaps(recorder, 1, 1)
    assert len(entry.announced) == told + 1


def test_a_restarted_engine_starts_at_its_published_speed() -> None:
    """Another process runs under the same id."""
    entry = Entry()
    entry.make_slow()
    restarted = _make_engine(started_ms=2)
    assert entry.factor(restarted) == 1
    entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 1, 4), 'peer')
    assert entry.factor(restarted) == 1
    entry.slowdowns.update([restarted])
    entry.clock.advance(UNLISTED_TTL_S + 1)
    entry.slowdowns.update([restarted])
    assert not tuple(entry.slowdowns.list_rows())
    assert not entry.slowdowns.slow_count


def test_news_of_a_start_that_is_not_listed_yet_are_kept() -> None:
    """News may arrive before the record of the new start."""
    entry = Entry()
    entry.slowdowns.merge(SlowdownRow(ENGINE.upstream, 2, 4), 'peer')
    entry.slowdowns.update([ENGINE])
    assert entry.factor(_make_engine(started_ms=2)) == 4


def test_a_greeting_has_slow_engines_with_their_age() -> None:
    """An entry that starts would send load to slow engines."""
    entry = Entry()
    entry.make_slow()
    entry.clock.advance(2)
    rows = tuple(entry.slowdowns.list_rows())
    assert [(row.upstream, row.age_ms) for row in rows] == [('e-1', 2000)]
    newcomer = Entry()
    newcomer.clock.advance(5)
    newcomer.slowdowns.merge(rows[0], 'peer')
    assert newcomer.factor() == pytest.approx(entry.factor(), rel=0.01)


def test_first_token_far_below_the_published_time_is_no_evidence() -> None:
    """A prompt whose beginning was read before says nothing of the speed."""
    table = EngineSlowdowns(ManualClock(), random.Random(1))
    table.merge(RUN, Measurement(0, 4))
    table.record_first_token(RUN, PREFILL_S / 2, PREFILL_S, PREFILL_S)
    assert table.confirmed_of(RUN) == 4
    table.record_first_token(RUN, PREFILL_S, PREFILL_S, PREFILL_S)
    assert table.confirmed_of(RUN) == 1


def test_small_slowdowns_are_attributed_to_jitter() -> None:
    """Engines must not be avoided for differences that jitter explains."""
    entry = Entry()
    recorder = entry.send()
    entry.begin_output(recorder)
    entry.pass_gaps(recorder, SLOWDOWN_THRESHOLD, 10)
    assert entry.factor() == 1
