"""Where a played day lost requests, read from log lines."""

import json
from typing import Any

import pytest
from bench.losses.__main__ import main
from bench.losses.trails import Cause, collect_losses, read_rows
from click.testing import CliRunner

Row = dict[str, Any]
PLACED = {
    'message_type': 'request placed',
    'expected_s': 0.1,
    'waited_s': 0,
    'tokens': [5000, 460],
}
FINISHED = {
    'message_type': 'request finished',
    'outcome': 'answered',
    'status': '200',
    'late': '',
    'first_s': 0.15,
    'total_s': 0.5,
}
REFUSED = {'message_type': 'request refused', 'total_s': 0.1}


def _line(vm: str, written_s: float, row: Row) -> str:
    return '{0:9.4f} {1} {2}\n'.format(written_s, vm, json.dumps(row))


CASES: list[tuple[list[Row], Cause]] = [
    ([PLACED, FINISHED], Cause.ON_TIME),
    ([PLACED, {**FINISHED, 'late': 'gap'}], Cause.GAP),
    ([PLACED, {**FINISHED, 'late': 'first', 'first_s': 0.19}], Cause.SLOW),
    ([PLACED, {**FINISHED, 'late': 'first', 'first_s': 0.4}], Cause.SLOWER),
    (
        [
            {**PLACED, 'waited_s': 0.3},
            {**FINISHED, 'late': 'first', 'first_s': 0.4},
        ],
        Cause.QUEUED,
    ),
    (
        [PLACED, PLACED, {**FINISHED, 'late': 'first', 'first_s': 2}],
        Cause.RETRIED,
    ),
    ([PLACED, {**FINISHED, 'status': '500'}], Cause.FAILED),
    ([PLACED, {**FINISHED, 'outcome': 'caller_left'}], Cause.LEFT),
    ([PLACED, {**FINISHED, 'outcome': 'cut_by_entry'}], Cause.CUT),
    ([{**REFUSED, 'status': 503}], Cause.REFUSED),
    ([{**REFUSED, 'status': 404}], Cause.REFUSED),
    ([PLACED, {**REFUSED, 'status': 504}], Cause.FAILED),
]


@pytest.mark.parametrize(('rows', 'cause'), CASES)
def test_cause_is_named_from_the_lines_of_a_request(
    rows: list[Row], cause: Cause
) -> None:
    """Each request has one cause, the first that explains the loss."""
    timed = [(1.0, {'request': 'r', **row}) for row in rows]
    assert [loss.cause for loss in collect_losses(timed)] == [cause]


def test_times_are_those_of_the_events_not_of_the_writes() -> None:
    """Lines are written in batches; their timestamps tell them apart."""
    lines = [
        _line('a', 10.0, {'timestamp': 500.0}),
        _line('a', 10.2, {'timestamp': 500.05}),
        'other output\n',
        _line('b', 10.3, {'timestamp': 499.1}),
        '10.4 b {broken\n',
    ]
    assert [time_s for time_s, _ in read_rows(lines)] == pytest.approx(
        [10.0, 10.05, 10.3]
    )


def test_tables_count_requests_by_prompt_and_by_window(tmp_path: Any) -> None:
    """The command prints both tables, details, and requests on demand."""
    log = tmp_path / 'play.out'
    rows: list[Row] = [
        {**PLACED, 'request': 'r1', 'timestamp': 500.0},
        {**FINISHED, 'request': 'r1', 'timestamp': 500.5},
        {
            **REFUSED,
            'request': 'r2',
            'timestamp': 503.0,
            'status': 503,
            'detail': 'the wait is too long',
        },
    ]
    log.write_text(''.join(_line('a', row['timestamp'], row) for row in rows))
    result = CliRunner().invoke(main, [str(log), '--list', 'refused'])
    assert result.exit_code == 0, result.output
    assert '4k-32k' in result.output
    assert '|           500 |' in result.output
    assert '| refused | the wait is too long |' in result.output
    assert result.output.endswith('r2 0 tokens: refused the wait is too long\n')
