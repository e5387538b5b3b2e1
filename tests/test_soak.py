"""Tests of the soak's command line, checks and plans."""

import asyncio
import signal
import time
from collections.abc import Sequence
from itertools import repeat
from pathlib import Path
from typing import Any

import msgspec
import pytest
from bench.faults.relay import TcpRelay
from bench.giftwrap.caller import Answer
from bench.giftwrap.deployment import DESK
from bench.giftwrap.upstream import REQUEST_ID, Upstream, Work
from bench.soak import __main__ as soak
from bench.soak.calls import Call
from bench.soak.checks import InjectedFault, find_unended_calls, find_violations
from bench.soak.crowds import find_process_violations
from bench.soak.faults import STOP_FAULT, PlannedFault
from bench.soak.fleet import EntryProcess
from bench.soak.losses import LossCheck
from bench.soak.outcome import Outcome
from bench.soak.stalls import CHECK_INTERVAL_S, StallMonitor
from bench.soak.stops import Stop, find_losses, make_stop_plan
from click.testing import CliRunner

from figspread.http1.requests import Request

RUN_DURATION_S = 30
TIMEOUT_S = 4.0
CUT_TIMEOUT_S = 10.0
# Event loop time at a run's start, and seconds from there to SIGTERM.
RUN_START_S = 100
STOP_S = 10
STALL_S = 0.3


class FakeRuns:
    """Stands in for `SoakRun` and for the clock.

    Each reading of the clock advances it by a second, each run by
    `RUN_DURATION_S`.
    """

    def __init__(self) -> None:
        """Start at 0 without any runs."""
        self.now = 0
        self.seeds: list[int] = []

    def monotonic(self) -> int:
        """Advance the clock by a second and return it."""
        self.now += 1
        return self.now

    def start(self, seed: int, *options: Any) -> 'FakeRuns':
        """Record the seed of a run; replaces the constructor of `SoakRun`."""
        self.seeds.append(seed)
        return self

    async def execute(self) -> Outcome:
        """Advance the clock by the duration of a run."""
        self.now += RUN_DURATION_S
        return Outcome(0, 1, 1, 1, [], '')


def test_fresh_seeds_are_drawn_until_time_is_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Draw new seeds until the time is over, the next one after each run.

    Seeds drawn ahead of the runs would let the soak exceed its time.
    """
    runs = FakeRuns()
    monkeypatch.setattr(time, 'monotonic', runs.monotonic)
    monkeypatch.setattr(soak, 'KINDS', {'faults': runs.start})
    CliRunner().invoke(soak.main, ['--fresh', '1'], catch_exceptions=False)
    assert len(runs.seeds) == 2


def test_log_lines_of_requests_in_violations_are_printed(
    tmp_path: Path,
) -> None:
    """A violation in CI has to be traced without the files of its run."""
    (tmp_path / 'entry-2.log').write_text(
        '{"request":"t1-196","outcome":"cut_by_entry"}\n{"request":"t1-19"}\n'
    )
    violations = ['cut without an answer: t1-196 at entry 2']
    outcome = Outcome(1, 2, 1, 1, violations, str(tmp_path))
    assert outcome.list_log_lines() == [
        'entry-2: {"request":"t1-196","outcome":"cut_by_entry"}'
    ]


def _make_entry(tmp_path: Path) -> EntryProcess:
    return EntryProcess('entry-0', '127.0.0.1', TcpRelay(1), tmp_path, tmp_path)


def test_process_that_ends_by_itself_is_a_violation(tmp_path: Path) -> None:
    """A crowd must not end a process; the next fault may start it again."""
    entry = _make_entry(tmp_path)
    # There is no program in the working tree.
    entry.start()
    asyncio.run(entry.wait_for_exit())
    entry.start()
    asyncio.run(entry.wait_for_exit())
    assert entry.unasked_exits == [2, 2]
    assert len(find_process_violations([entry])) == 1


@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGKILL])
def test_process_that_a_fault_ends_is_no_violation(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Stops and kills are faults of the soak's own."""
    (tmp_path / 'platform').mkdir()
    (tmp_path / 'platform' / 'entry.py').write_text(
        'import time; time.sleep(60)'
    )
    entry = _make_entry(tmp_path)
    entry.start()
    entry.signal_process(number)
    asyncio.run(entry.wait_for_exit())
    assert entry.exit_code == -number
    assert not find_process_violations([entry])


class _QuietEntry:
    """An entry that has logged nothing."""

    name = 'entry-0'


class _QuietFleet:
    """A fleet whose upstreams have run nothing."""

    def __init__(self) -> None:
        """Start with one entry and no upstreams."""
        self.upstreams: dict[str, Any] = {}
        self.entries = [_QuietEntry()]

    def read_log_rows(self, _entry: _QuietEntry) -> list[dict[str, object]]:
        """Return no lines."""
        return []


@pytest.mark.parametrize(
    ('kind', 'duration_s', 'is_violation'),
    [
        ('change the configuration', TIMEOUT_S, True),
        ('hang up an entry', TIMEOUT_S + 0.3, True),
        # A closed listener refuses the connection at once.
        ('terminate an entry', 0.01, False),
        ('change the configuration', 0.01, False),
    ],
)
def test_call_that_hangs_during_planned_work_is_a_violation(
    kind: str, duration_s: float, is_violation: bool
) -> None:
    """Planned work alone is no reason to leave a caller without an answer."""
    fleet: Any = _QuietFleet()
    call = Call('r', 'status', 0, 1, 1 + duration_s, TIMEOUT_S, None)
    fault = InjectedFault(PlannedFault(1, kind, 1, 0), 1, 2)
    assert bool(find_violations(fleet, [call], [fault], 0)) == is_violation


def _make_upstream(call: Call, works: Sequence[Work] | None) -> Upstream:
    """Return an upstream that has received the call, unless `works` is `None`."""
    upstream = Upstream('d-0', DESK)
    if works is not None:
        fields = [(REQUEST_ID, call.request.encode())]
        upstream.received_requests.append(
            Request(b'GET', b'/status/x', fields, b'')
        )
        upstream.works.extend(works)
    return upstream


def _make_cut_call(last_byte_s: float, ended_s: float, status: int) -> Call:
    answer = Answer(status, b'', is_complete=False)
    return Call(
        'r',
        'status',
        0,
        last_byte_s,
        ended_s,
        CUT_TIMEOUT_S,
        answer,
        last_byte_s=last_byte_s,
    )


# When its last byte was sent and its connection ended, in seconds since SIGTERM; when
# an upstream worked on it, `None` if none received it; whether it may be cut.
CUT_CASES: dict[
    str, tuple[float, float, Sequence[tuple[float, float]] | None, bool]
] = {
    'crosses the close of a kept connection': (7.0, 7.1, None, True),
    'was read and waited for an upstream': (1.0, 7.0, None, False),
    'came late and waited': (6.0, 6.3, None, False),
    'was passed on and cut at once': (7.0, 7.1, (), False),
    'was rejected by its upstream, waited and was cut': (1.0, 7.0, (), False),
    'its upstream still worked at the end': (2.9, 7.0, [(3.0, 7.0)], True),
    'its upstream had ended long before': (2.9, 7.0, [(3.0, 6.5)], False),
    'came too late for an upstream to work on': (3.1, 7.0, [(3.2, 7.0)], False),
    'was cut while its upstream worked early': (1.0, 5.0, [(1.1, 5.0)], False),
    'was cut before the stop': (-2.0, -1.0, [(-2.0, -1.0)], False),
    'was cut after the process should have ended': (
        2.0,
        9.5,
        [(2.1, 9.5)],
        False,
    ),
    'its deadline was reached': (-8.0, 2.0, None, True),
}


@pytest.mark.parametrize(
    ('last_byte_s', 'ended_s', 'works_s', 'is_excused'),
    CUT_CASES.values(),
    ids=CUT_CASES,
)
def test_request_that_a_stop_cuts_is_lost_unless_the_platform_excuses_it(
    last_byte_s: float,
    ended_s: float,
    works_s: Sequence[tuple[float, float]] | None,
    *,
    is_excused: bool,
) -> None:
    """The check of stops must not excuse more than the platform does."""
    call = _make_cut_call(STOP_S + last_byte_s, STOP_S + ended_s, 0)
    start_s = RUN_START_S + STOP_S
    works = [
        Work('r', start_s + begin_s, start_s + end_s, has_broken_off=False)
        for begin_s, end_s in works_s or ()
    ]
    upstream = _make_upstream(call, None if works_s is None else works)
    check = LossCheck([upstream], RUN_START_S)
    assert check.is_excused(call, [STOP_S]) is is_excused
    found = find_losses([call], [Stop(0, STOP_S), Stop(1, ended_s)], check)
    assert bool(found) is not is_excused


def test_request_whose_upstream_broke_off_is_not_lost() -> None:
    """An upstream that ends its connection is no fault of the entry."""
    call = _make_cut_call(STOP_S, STOP_S + 1, 200)
    works = [Work('r', STOP_S, STOP_S + 1, has_broken_off=True)]
    check = LossCheck([_make_upstream(call, works)], 0)
    assert check.is_excused(call, [])


@pytest.mark.parametrize(
    ('works', 'is_violation'),
    [(None, True), ((), True), ([Work('r', 11, 17, False)], False)],
    ids=['waited', 'rejected', 'worked on until the end'],
)
def test_cut_request_is_a_violation_also_if_its_entry_was_terminated(
    works: Sequence[Work] | None, *, is_violation: bool
) -> None:
    """A stop of the entry alone doesn't excuse a connection without an answer."""
    call = _make_cut_call(STOP_S + 1, STOP_S + 7, 0)
    fleet: Any = _QuietFleet()
    fleet.upstreams['d-0'] = _make_upstream(call, works)
    fault = InjectedFault(
        PlannedFault(STOP_S, STOP_FAULT, 1, 0), STOP_S, STOP_S + 7
    )
    found = find_violations(fleet, [call], [fault], 0)
    assert bool(found) is is_violation


@pytest.mark.parametrize('seed', range(20))
def test_shortest_run_has_a_stop_under_load_that_waits(seed: int) -> None:
    """CI's run of 4 s stops an entry while upstreams are short."""
    plan = make_stop_plan(seed, 4, 3)
    begin_s, end_s = plan.shortage_s
    assert begin_s <= plan.stops[0][0] <= end_s


@pytest.mark.parametrize(
    ('in_time', 'late', 'is_violation'),
    [
        (0, 8, True),
        (0, 7, False),
        (23, 8, True),
        (24, 8, False),
        (40, 0, False),
    ],
)
def test_calls_that_hang_in_a_run_of_stops_are_a_violation(
    in_time: int, late: int, *, is_violation: bool
) -> None:
    """Eight calls, and over a quarter, that do not end at their deadline."""
    on_time = Call('r', 'status', 0, 0, TIMEOUT_S - 0.02, TIMEOUT_S, None)
    hanging = msgspec.structs.replace(on_time, ended_s=TIMEOUT_S + 0.6)
    calls = [*repeat(on_time, in_time), *repeat(hanging, late)]
    assert bool(find_unended_calls(calls)) is is_violation


def test_stall_of_the_load_is_recorded() -> None:
    """Without it, an answer that callers see late looks like an entry's fault."""

    async def stall() -> list[tuple[float, float]]:
        monitor = StallMonitor()
        with monitor:
            await asyncio.sleep(0)
            time.sleep(STALL_S)
            await asyncio.sleep(CHECK_INTERVAL_S)
        return monitor.stalls

    stalls = asyncio.run(stall())
    assert any(length_s >= STALL_S / 2 for _, length_s in stalls)
