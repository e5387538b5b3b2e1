"""Tests of the load tool: plans, arrivals, outcomes and reports."""

import json
import os
import re
import signal
import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import cherrypy
import msgspec
import pytest
import tomlkit
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from figspread.cli.load import main
from figspread.http.server import HttpServer, ListenOptions
from figspread.load.arrivals import Arrival, PromptCall, generate_arrivals
from figspread.load.example import EXAMPLE_LOAD_FILE
from figspread.load.plan import LoadPlan, parse_plan
from figspread.load.prompts import PromptBodyBuilder
from figspread.load.report import read_report
from figspread.load.responses import EventReader, read_problem
from figspread.load.results import (
    ANSWERED,
    CallResult,
    OutcomeName,
    Verdict,
)
from figspread.load.runner import LoadRun

TOKEN = b'data: {"choices":[{"text":"a"}]}\n\n'
DONE = b'data: [DONE]\n\n'
ERROR = b'data: {"error":{"outcome":"unknown","reason":"deadline"}}\n\n'


def make_plan(**changes: Any) -> LoadPlan:
    """Return the plan of the example load file with `changes`."""
    fields = tomlkit.parse(EXAMPLE_LOAD_FILE).unwrap()
    return parse_plan({**fields, **changes}).unwrap()


# CherryPy has no type annotations.
_expose: Callable[[Any], Any] = cherrypy.expose


class FakeEntry:
    """An entry that answers as the model name in the request says."""

    def __init__(self) -> None:
        """Start with no request received."""
        self.is_requested = threading.Event()
        self.may_finish = threading.Event()
        self.refusals = Counter[str]()

    def answer(self, *path: str) -> Any:
        """Answer a completion or a call of a plain service."""
        body = cherrypy.request.body.read()
        if path[1] == 'services':
            assert cherrypy.request.headers['Idempotency-Key']
            return b'{}'
        model = json.loads(body)['model']
        self.is_requested.set()
        return getattr(self, 'answer_{0}'.format(model))()

    default = _expose(answer)

    def answer_whole(self) -> Any:
        """Stream a complete answer."""
        return [TOKEN, TOKEN + TOKEN, DONE]

    def answer_cut(self) -> Any:
        """Stream an answer without its end mark."""
        return [TOKEN]

    def answer_slow(self) -> Any:
        """Answer when the test has finished."""
        self.may_finish.wait(30)
        return [DONE]

    def answer_once_refused(self) -> Any:
        """Refuse the first request of each API key, with a retry delay."""
        key = cherrypy.request.headers['Authorization']
        self.refusals[key] += 1
        if self.refusals[key] > 1:
            return self.answer_whole()
        cherrypy.response.status = 503
        return msgspec.json.encode(
            {
                'outcome': 'not_run',
                'reason': 'overload',
                'retry_after_s': 0.01,
            },
        )


@pytest.fixture
def entry() -> Iterator[tuple[FakeEntry, str]]:
    """Serve a fake entry on loopback; return it and its URL."""
    fake = FakeEntry()
    server = HttpServer(
        fake, ListenOptions('127.0.0.1', 0, body_limit=8_000_000)
    )
    server.start()
    yield fake, 'http://127.0.0.1:{0}'.format(server.port)
    fake.may_finish.set()
    server.stop()


def write_load_file(path: Path, **changes: Any) -> Path:
    """Write a load file that runs for 0.3 s by default."""
    fields = {
        **tomlkit.parse(EXAMPLE_LOAD_FILE).unwrap(),
        'requests_per_s': 100,
        'duration_s': 0.3,
        'classes': [
            {
                'length': '1k-4k',
                'share': 1,
                'from_tokens': 1000,
                'to_tokens': 1100,
            },
        ],
        **changes,
    }
    load_file = path / 'load.toml'
    load_file.write_text(tomlkit.dumps(fields))
    return load_file


@pytest.mark.parametrize(
    ('model', 'outcome', 'comebacks'),
    [
        ('whole', 'answered', 0),
        ('cut', 'failed', 0),
        ('once_refused', 'answered', 1),
    ],
)
def test_run_reports_one_outcome_per_request(
    entry: tuple[FakeEntry, str],
    tmp_path: Path,
    model: str,
    outcome: str,
    comebacks: int,
) -> None:
    """The report and the plot are written, and the counts add up."""
    load_file = write_load_file(tmp_path, model=model, comebacks=comebacks)
    out, plot = tmp_path / 'out.json', tmp_path / 'plot.png'
    command = ['run', str(load_file), '--url', entry[1], '--key', 'k']
    result = run_load_tool([*command, '--out', str(out), '--plot', str(plot)])
    assert result.returncode == 0, result.stderr
    report = read_report(out).unwrap()
    prompts = report.classes['1k-4k']
    assert prompts.requests > 10
    assert prompts.outcomes[outcome] >= prompts.requests - comebacks * 3
    assert report.planned == report.total.requests
    assert sum(report.total.outcomes.values()) == report.planned
    assert report.total.first_token.count == prompts.outcomes['answered']
    assert not report.is_partial
    assert plot.stat().st_size > 1000


def run_load_tool(arguments: list[str]) -> 'subprocess.CompletedProcess[str]':
    """Run the load tool in a process of its own until it exits."""
    return subprocess.run(
        [sys.executable, '-c', _MAIN_SCRIPT, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


_MAIN_SCRIPT = 'from figspread.cli.load import main; main()'


def test_interrupted_run_writes_partial_report(
    entry: tuple[FakeEntry, str],
    tmp_path: Path,
) -> None:
    """Requests in flight are unknown, those waiting for a thread not run."""
    load_file = write_load_file(
        tmp_path, model='slow', duration_s=60, threads=2
    )
    out = tmp_path / 'out.json'
    command = ['run', str(load_file), '--url', entry[1], '--key', 'k']
    process = subprocess.Popen(
        [sys.executable, '-c', _MAIN_SCRIPT, *command, '--out', str(out)],
        stdout=subprocess.DEVNULL,
    )
    assert entry[0].is_requested.wait(30)
    os.kill(process.pid, signal.SIGTERM)
    assert process.wait(30) == 3
    report = read_report(out).unwrap()
    assert report.is_partial
    assert report.total.outcomes['answered'] == 0
    assert report.total.reasons['unknown/interrupted'] >= 1
    assert sum(report.total.outcomes.values()) == report.planned


def test_run_reports_all_errors_of_a_load_file(
    tmp_path: Path,
) -> None:
    """All errors are printed before anything is sent; the exit code is 2."""
    load_file = write_load_file(
        tmp_path,
        requests_per_s=-1,
        colour='red',
        workspaces=[{'name': 'a', 'share': 0.5}],
        classes=[
            {
                'length': '1k-4k',
                'share': 1,
                'from_tokens': 2000,
                'to_tokens': 2000,
            },
        ],
    )
    command = ['run', str(load_file), '--url', 'http://127.0.0.1:1']
    result = CliRunner().invoke(main, [*command, '--key', 'k', '--out', 'x'])
    assert result.exit_code == 2
    faults = ('requests_per_s', 'colour', 'the class is empty', 'add up to 0.5')
    for fault in faults:
        assert fault in result.stderr
    assert not Path('x').exists()


@pytest.mark.parametrize(
    ('text', 'fault'),
    [
        ('requests_per_s = inf', 'requests_per_s'),
        ('requests_per_s = 999999', 'impossible rate'),
        ('seed = -1', 'seed'),
        ('threads = "many"', 'threads'),
        ('= 3', 'not TOML'),
        ('seed = 1\nseed = 2', 'not TOML'),
    ],
)
def test_check_names_the_error_of_a_load_file(
    tmp_path: Path,
    text: str,
    fault: str,
) -> None:
    """The field or kind of the error is printed; the exit code is 2."""
    name = text.partition(' ')[0]
    other_lines = re.sub(
        r'^{0} = .*\n'.format(name), '', EXAMPLE_LOAD_FILE, count=1, flags=re.M
    )
    load_file = tmp_path / 'load.toml'
    load_file.write_text('{0}\n{1}'.format(text, other_lines))
    result = CliRunner().invoke(main, ['check', str(load_file)])
    assert result.exit_code == 2
    assert fault in result.stderr


def test_example_is_a_valid_load_file(tmp_path: Path) -> None:
    """The output of `example` passes `check`."""
    load_file = tmp_path / 'load.toml'
    load_file.write_text(CliRunner().invoke(main, ['example']).output)
    result = CliRunner().invoke(main, ['check', str(load_file)])
    assert result.exit_code == 0
    assert 'about 165 requests in 30 s' in result.output


def test_example_sends_one_in_fifty_prompts_above_100_000_tokens() -> None:
    """Arrivals have the shares of classes and workspaces in the example."""
    plan = make_plan(requests_per_s=2000, duration_s=30, services=[])
    calls = [
        call for call in generate_arrivals(plan) if isinstance(call, PromptCall)
    ]
    assert len(calls) == pytest.approx(60_000, rel=0.02)
    long_prompts = sum(call.prompt_tokens > 100_000 for call in calls)
    assert long_prompts / len(calls) == pytest.approx(0.02, rel=0.1)
    studio_calls = sum(call.workspace == 'studio' for call in calls)
    assert studio_calls / len(calls) == pytest.approx(0.5, rel=0.03)
    assert [call.at_s for call in calls] == sorted(call.at_s for call in calls)


@settings(derandomize=True, deadline=None, max_examples=15)
@given(st.integers(0, 1_000_000))
def test_same_seed_generates_same_load(seed: int) -> None:
    """Arrivals and bodies repeat; a body has the drawn number of tokens."""
    plan = make_plan(seed=seed, duration_s=3)
    calls = list(generate_arrivals(plan))
    assert calls == list(generate_arrivals(plan))
    for call in calls:
        if isinstance(call, PromptCall):
            body = PromptBodyBuilder(plan).build_body(call)
            prompt = json.loads(body)['prompt']
            assert body == PromptBodyBuilder(plan).build_body(call)
            assert len(prompt) == call.prompt_tokens * 4


@pytest.mark.parametrize(
    ('chunks', 'outcome', 'tokens'),
    [
        ([TOKEN, DONE], OutcomeName.ANSWERED, 1),
        ([TOKEN[:9], TOKEN[9:] + DONE[:8], DONE[8:]], OutcomeName.ANSWERED, 1),
        ([TOKEN, TOKEN], OutcomeName.FAILED, 2),
        ([TOKEN, ERROR], OutcomeName.UNKNOWN, 1),
        ([b'data: \xff\n\n', b': beat\n', DONE], OutcomeName.ANSWERED, 0),
        ([], OutcomeName.FAILED, 0),
    ],
)
def test_stream_is_answered_only_with_end_mark(
    chunks: list[bytes],
    outcome: OutcomeName,
    tokens: int,
) -> None:
    """An error event in place of the end mark sets the outcome."""
    reader = EventReader()
    reader.read(chunks)
    assert reader.verdict.outcome is outcome
    assert len(reader.token_times) == tokens


@pytest.mark.parametrize(
    ('body', 'verdict'),
    [
        (
            b'{"outcome":"not_run","reason":"limit","retry_after_s":2}',
            Verdict(OutcomeName.NOT_RUN, 'limit', 2),
        ),
        (b'<html>', Verdict(OutcomeName.UNKNOWN, 'status_502')),
        (b'{"outcome":"lost"}', Verdict(OutcomeName.UNKNOWN, 'status_502')),
    ],
)
def test_problem_document_sets_verdict(body: bytes, verdict: Verdict) -> None:
    """Without a known outcome, the request may have run."""
    assert read_problem(body, 502) == verdict


def test_compare_prints_ratio_of_two_reports(tmp_path: Path) -> None:
    """The table has the ratio of each figure; a bad path exits with 2."""
    paths = []
    for number in (1, 2):
        plan = make_plan(requests_per_s=200, duration_s=0.1, services=[])

        def answer(
            call: Arrival,
            _: float,
            number: int = number,
        ) -> CallResult:
            assert isinstance(call, PromptCall)
            return CallResult(
                call.workspace,
                call.length,
                ANSWERED,
                first_token_s=number / 10,
            )

        report = LoadRun(plan, answer, threading.Event()).run()
        path = tmp_path / '{0}.json'.format(number)
        path.write_bytes(msgspec.json.encode(report))
        paths.append(str(path))
    result = CliRunner().invoke(main, ['compare', *paths])
    assert result.exit_code == 0
    line = next(
        line
        for line in result.output.splitlines()
        if line.startswith('1k-4k first token p50 ms')
    )
    assert line.split()[-1] == '2.00'
    failed = CliRunner().invoke(main, ['compare', paths[0], str(tmp_path)])
    assert failed.exit_code == 2


def test_parse_plan_returns_all_errors_of_a_field() -> None:
    """A wrong sum of shares and a duplicate name are both reported."""
    fields = tomlkit.parse(EXAMPLE_LOAD_FILE).unwrap()
    fields['workspaces'] = [
        {'name': 'a', 'share': share} for share in (0.3, 0.5)
    ]
    match parse_plan(fields):
        case Err([error]):
            assert error.startswith('workspaces: ')
            assert 'add up to 0.8' in error
            assert 'listed twice' in error
        case Ok() | Err():
            pytest.fail('not refused')
