"""Runs one fault case and returns its row of the table."""

import time
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from bench.faults.answers import Ending
from bench.faults.caller import CallRecord
from bench.faults.calls import Call, make_calls
from bench.faults.load import LoadGenerator
from bench.faults.tally import Row, Tally, list_overdue
from bench.faults.testbed import Testbed, TestbedOptions, open_testbed

RELEASE_TIMEOUT_S: Final = 8
ANY_ENDING: Final = frozenset(Ending)
ONLY_ANSWERED: Final = frozenset((Ending.ANSWERED,))


class Case(NamedTuple):
    """A fault and the endings that calls may have under it.

    `build_calls` turns the seed into the calls. `inject_fault` runs while
    they are in flight. Each call must end in one of `endings`.
    """

    name: str
    inject_fault: Callable[[Testbed, LoadGenerator], None]
    options: TestbedOptions = TestbedOptions()
    endings: frozenset[Ending] = ANY_ENDING
    build_calls: Callable[[int], Sequence[Call]] = make_calls


def run_case(case: Case, seed: int) -> Row:
    """Run `case` with the calls of `seed` and return its row."""
    with open_testbed(case.options) as testbed:
        load = LoadGenerator(case.build_calls(seed), testbed.ports)
        load.start()
        case.inject_fault(testbed, load)
        records = load.join()
        testbed.clear_faults()
        held = _wait_for_release(testbed)
        tally = Tally(records, testbed.count_runs(), testbed.interrupted_ports)
        unmet = [
            *testbed.unmet_expectations,
            *_list_unmet_expectations(case, records, tally),
        ]
        endings = tally.count_endings()
        return Row(
            case.name,
            len(records),
            endings[Ending.ANSWERED],
            endings[Ending.NOT_RUN],
            endings[Ending.FAILED],
            endings[Ending.UNKNOWN],
            endings[Ending.LEFT],
            len(tally.list_doubled()),
            len(tally.list_lost()),
            held,
            unmet,
        )


def _wait_for_release(testbed: Testbed) -> int:
    """Return how many holdings engines still have after `RELEASE_TIMEOUT_S`."""
    deadline = time.monotonic() + RELEASE_TIMEOUT_S
    held = testbed.count_holdings()
    while held and time.monotonic() < deadline:
        testbed.system.pause()
        held = testbed.count_holdings()
    return held


def _list_unmet_expectations(
    case: Case,
    records: Sequence[CallRecord],
    tally: Tally,
) -> list[str]:
    unmet = [
        'outcome after its time limit, at {0:.1f} s: {1}'.format(
            attempt.elapsed_s, attempt.verdict
        )
        for attempt in list_overdue(records)
    ]
    for record in (*tally.list_lost(), *tally.list_doubled()):
        unmet.append(_describe_call(record))
    for record in records:
        if tally.find_ending(record) not in case.endings:
            unmet.append(_describe_call(record))
    return unmet


def _describe_call(record: CallRecord) -> str:
    attempts = '; '.join(
        '{0} {1} at {2:.1f} s'.format(
            attempt.verdict.ending.value,
            attempt.verdict.reason,
            attempt.elapsed_s,
        )
        for attempt in record.attempts
    )
    return 'call {0} ({1}{2}): {3}'.format(
        record.call.number,
        record.call.kind.value,
        ' with an idempotency key' if record.call.key else '',
        attempts,
    )
