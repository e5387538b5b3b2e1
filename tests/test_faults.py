"""Tests of the fault injection program, and two of its cases."""

import re
from pathlib import Path

import pytest
from bench.faults.__main__ import main
from bench.faults.answers import Answer, Ending, Verdict, classify_answer
from bench.faults.caller import CallAttempt, CallRecord
from bench.faults.calls import Call, CallKind, make_calls, make_completion
from bench.faults.cases import CASES
from bench.faults.runner import run_case
from bench.faults.tally import Row, Tally, list_overdue
from click.testing import CliRunner

PORT = 8000
STREAM = make_completion(0, 'a fig', 2)
UNREPEATABLE = Call(
    1, CallKind.UNREPEATABLE, 'POST', '/x', b'7', '7', 0, 0, time_limit_s=4
)
KEYED = UNREPEATABLE._replace(key='key-1')


@pytest.mark.parametrize('name', ['engine-cuts-stream', 'entry-kill'])
def test_fault_case_is_clean(name: str) -> None:
    """No call is doubled or lost and no memory is left, on real processes."""
    case = next(case for case in CASES if case.name == name)
    row = run_case(case, seed=1)
    assert row.is_clean, row
    assert row.answered > row.sent / 2


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['--only', 'flood'], 'unknown fault flood; the faults are none, '),
        (['--seed', 'x'], "'x' is not a valid integer"),
        (['--seed', '-1'], '-1 is not in the range'),
    ],
)
def test_invalid_argument_is_usage_error(
    arguments: list[str], message: str
) -> None:
    """The command says what is wrong and runs no case."""
    result = CliRunner().invoke(main, arguments)
    assert (result.exit_code, message in result.output) == (2, True), (
        result.output
    )


def test_list_prints_all_fault_names() -> None:
    """One name is printed on each line, and no name twice."""
    names = CliRunner().invoke(main, ['--list']).output.split()
    assert names == [case.name for case in CASES]
    assert len(set(names)) == len(names)


def test_same_seed_gives_same_calls() -> None:
    """All kinds of calls occur, and duplicates that share a key."""
    calls = make_calls(5)
    assert calls == make_calls(5)
    assert calls != make_calls(6)
    assert {call.kind for call in calls} == set(CallKind)
    keys = [call.key for call in calls if call.key]
    assert len(set(keys)) < len(keys)


@pytest.mark.parametrize(
    ('call', 'ending', 'runs', 'faulted', 'found'),
    [
        (UNREPEATABLE, Ending.ANSWERED, 1, False, (0, 0)),
        (UNREPEATABLE, Ending.ANSWERED, 2, False, (1, 0)),
        (KEYED, Ending.UNKNOWN, 2, False, (1, 0)),
        (UNREPEATABLE, Ending.NOT_RUN, 0, False, (0, 0)),
        (UNREPEATABLE, Ending.NOT_RUN, 1, False, (1, 0)),
        (STREAM, Ending.NOT_RUN, 1, False, (1, 0)),
        (STREAM, Ending.ANSWERED, 2, False, (0, 0)),
        (STREAM, Ending.NO_ANSWER, 1, False, (0, 1)),
        (STREAM, Ending.NO_ANSWER, 1, True, (0, 0)),
        (STREAM, Ending.NOT_WHOLE, 1, True, (0, 1)),
    ],
)
def test_tally_counts_doubled_and_lost_calls(
    call: Call,
    ending: Ending,
    runs: int,
    faulted: bool,
    found: tuple[int, int],
) -> None:
    """A killed entry excuses a missing answer but never a wrong one."""
    record = CallRecord(call, (CallAttempt(PORT, Verdict(ending)),))
    interrupted_ports = {PORT} if faulted else set()
    tally = Tally([record], {call.digest: runs}, interrupted_ports)
    counted = (len(tally.list_doubled()), len(tally.list_lost()))
    assert counted == found


def test_attempt_beyond_time_limit_is_overdue() -> None:
    """An attempt may exceed its limit by the grace of one second."""
    attempts = [
        CallAttempt(PORT, Verdict(Ending.FAILED), elapsed_s=elapsed_s)
        for elapsed_s in (4.9, 6.0)
    ]
    assert list_overdue([CallRecord(UNREPEATABLE, attempts)]) == attempts[1:]


@pytest.mark.parametrize(
    'row',
    [
        Row('x', doubled=1),
        Row('x', lost=1),
        Row('x', memory_left=1),
        Row('x', unmet=['late']),
    ],
)
def test_row_with_any_fault_is_not_clean(row: Row) -> None:
    """Any of these makes the command exit with an error."""
    assert Row('x').is_clean and not row.is_clean


def _event(text: str) -> bytes:
    return b'data: {"choices":[{"text":"%s"}]}\n\n' % text.encode()


DONE = b'data: [DONE]\n\n'
ERROR = b'data: {"error":{"outcome":"failed","reason":"deadline"}}\n\n'


@pytest.mark.parametrize(
    ('body', 'ending'),
    [
        (_event(STREAM.expected_text) + DONE, Ending.ANSWERED),
        (_event(STREAM.expected_text), Ending.NO_ANSWER),
        (_event(STREAM.expected_text[:4]) + DONE, Ending.NOT_WHOLE),
        (_event(STREAM.expected_text[:4]) + ERROR, Ending.FAILED),
        (_event(STREAM.expected_text * 2) + DONE, Ending.NOT_WHOLE),
    ],
)
def test_stream_is_classified_by_its_text(body: bytes, ending: Ending) -> None:
    """Only the complete text with the end mark counts as answered."""
    answer = Answer(200, {}, body, is_cut=False)
    assert classify_answer(STREAM, answer).ending is ending


def test_proofs_page_names_existing_items() -> None:
    """The tests, modules and faults that PROOFS.md names exist."""
    root = Path(__file__).parents[1]
    page = (root / 'docs' / 'PROOFS.md').read_text()
    tests = '\n'.join(path.read_text() for path in root.glob('tests/test_*.py'))
    for name in re.findall('`(test_[a-z_0-9]+)`', page):
        is_file = (root / 'tests' / '{0}.py'.format(name)).exists()
        assert is_file or 'def {0}('.format(name) in tests, name
    for module in re.findall('`([a-z]+/[a-z_]+[.]py)`', page):
        assert (root / 'src' / 'figspread' / module).exists(), module
    known = {case.name for case in CASES}
    named = set(re.findall('`([a-z]+(?:[-+][a-z]+)+)`', page))
    assert named <= known, named - known
