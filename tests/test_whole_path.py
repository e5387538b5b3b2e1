"""End-to-end tests of requests through real processes."""

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import openai
import pytest
import urllib3
from bench.processes import ADMITTED_REQUESTS, KEY, MODEL, Process, System

AUTHORIZATION_HEADERS = {'Authorization': 'Bearer {0}'.format(KEY)}

CONFLICT_STATUS = 409


class RunningSystem:
    """A system with two engines and a plain service, ready for callers."""

    def __init__(self, system: System) -> None:
        """Start all processes and wait until the entry is ready."""
        self.system = system
        system.add_engine('engine-a')
        system.add_engine('engine-b')
        self.service = system.add_service('desk-a').upstream
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        self.entry = system.start_entry('entry-a')
        system.wait_ready(self.entry, upstreams=3)

    def ask(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the entry with the workspace's key."""
        return self.system.http.request(
            method,
            'http://127.0.0.1:{0}{1}'.format(self.entry.port, path),
            body=body,
            headers={**AUTHORIZATION_HEADERS, **(headers or {})},
        )

    def count_runs(self) -> dict[str, Any]:
        """Return the plain service's counts of its runs."""
        answer = self.system.http.request(
            'GET',
            'http://127.0.0.1:{0}/standin/runs'.format(self.service.port),
        )
        counted: dict[str, Any] = answer.json()
        return counted


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[RunningSystem]:
    """Provide one running system for all tests of this module."""
    folder: Path = tmp_path_factory.mktemp('system')
    with System(folder) as system:
        yield RunningSystem(system)


def test_streamed_completion_is_complete(running: RunningSystem) -> None:
    """The OpenAI client library reads the stream to its end."""
    client = _make_openai_client(running.entry)
    stream = client.completions.create(
        model=MODEL,
        prompt='a caption for a pattern of figs',
        max_tokens=8,
        stream=True,
    )
    events = list(stream)
    texts = [choice.text for event in events for choice in event.choices]
    assert sum(1 for text in texts if text) == 8


def test_stream_ends_once_and_frees_its_slot(running: RunningSystem) -> None:
    """Each stream has one `[DONE]`, and its end frees an admission slot.

    Two more streams than the entry admits at a time, one after the other: a
    slot that is not freed makes the last ones fail.
    """
    body = msgspec.json.encode(
        {'model': MODEL, 'prompt': 'figs', 'max_tokens': 2, 'stream': True},
    )
    for _ in range(ADMITTED_REQUESTS + 2):
        answer = running.ask('POST', '/v1/completions', body)
        assert answer.status == 200
        assert answer.data.count(b'[DONE]') == 1
        assert answer.data.endswith(b'data: [DONE]\n\n')


def test_streamed_and_plain_answers_are_equal(running: RunningSystem) -> None:
    """Without `stream`, the caller gets the same text in one document."""
    client = _make_openai_client(running.entry)
    prompt = 'a review of the season'
    plain = client.completions.create(
        model=MODEL,
        prompt=prompt,
        max_tokens=6,
    )
    stream = client.completions.create(
        model=MODEL,
        prompt=prompt,
        max_tokens=6,
        stream=True,
    )
    streamed = ''.join(
        choice.text for event in stream for choice in event.choices
    )
    assert plain.choices[0].text == streamed
    assert plain.usage is not None
    assert plain.usage.completion_tokens == 6


def test_chat_completion_is_served_in_both_forms(
    running: RunningSystem,
) -> None:
    """Chat completions work streamed and in one document."""
    client = _make_openai_client(running.entry)
    plain = client.chat.completions.create(
        model=MODEL,
        messages=[{'role': 'user', 'content': 'is the quote right?'}],
        max_tokens=5,
    )
    assert plain.choices[0].message.content
    stream = client.chat.completions.create(
        model=MODEL,
        messages=[{'role': 'user', 'content': 'is the quote right?'}],
        max_tokens=5,
        stream=True,
    )
    streamed = ''.join(
        choice.delta.content or ''
        for event in stream
        for choice in event.choices
    )
    assert streamed == plain.choices[0].message.content


def test_models_page_lists_release_note_models(running: RunningSystem) -> None:
    """Callers see the models that the release note defines."""
    models = _make_openai_client(running.entry).models.list()
    assert [model.id for model in models] == [MODEL]


def test_service_call_is_passed_through(running: RunningSystem) -> None:
    """Method, path, body and headers reach the service; its answer returns."""
    answer = running.ask(
        'PUT',
        '/v1/services/order-desk/jobs/7?copies=2',
        b'{"paper": "fig"}',
        {'Content-Type': 'application/json', 'X-Studio': 'gift wrap'},
    )
    assert answer.status == 200
    echoed = answer.json()
    assert echoed['method'] == 'PUT'
    assert (echoed['path'], echoed['query']) == ('/jobs/7', 'copies=2')


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'outcome'),
    [('POST', '/jobs/8', 502, 'unknown'), ('GET', '/status/8', 200, None)],
)
def test_answer_cut_within_its_head_is_lost(
    running: RunningSystem,
    method: str,
    path: str,
    status: int,
    outcome: str | None,
) -> None:
    """Retry a repeatable call; callers got 200 with an empty body (MIXED)."""
    running.system.http.request(
        'PUT',
        'http://127.0.0.1:{0}/standin/faults'.format(running.service.port),
        body=msgspec.json.encode({'cut_in_head': True, 'times': 1}),
    )
    answer = running.ask(
        method, '/v1/services/order-desk{0}'.format(path), b'{}'
    )
    outcomes = (answer.status, answer.headers.get('X-Outcome'))
    assert outcomes == (status, outcome)
    assert answer.data


def test_query_named_like_handler_argument_is_accepted(
    running: RunningSystem,
) -> None:
    """A query parameter can't collide with an argument of the handler."""
    assert running.ask('GET', '/healthz?self=1&_query=2').status == 200


def test_repeated_key_runs_once(running: RunningSystem) -> None:
    """A repeated idempotency key gets the recorded answer without a new run."""
    call = ('POST', '/v1/services/order-desk/print-jobs', b'{"job": 1}')
    headers = {'Idempotency-Key': 'print-1'}
    first = running.ask(*call, headers)
    running.system.wait_until(
        lambda: running.ask(*call, headers).status != CONFLICT_STATUS,
    )
    again = running.ask(*call, headers)
    assert (first.status, first.data) == (again.status, again.data)
    assert again.headers['Idempotent-Replayed'] == 'true'
    assert running.count_runs()['by_key']['print-1'] == 1


def test_key_with_different_body_is_refused(running: RunningSystem) -> None:
    """An idempotency key belongs to one request body."""
    path = '/v1/services/order-desk/print-jobs'
    headers = {'Idempotency-Key': 'print-2'}
    running.ask('POST', path, b'one', headers)
    problem = running.ask('POST', path, b'two', headers)
    assert (problem.status, problem.json()['reason']) == (422, 'key_reused')


def test_prompt_larger_than_one_engine_is_served(
    running: RunningSystem,
) -> None:
    """Two engines together hold a prompt that is too large for either."""
    body = {
        'model': MODEL,
        'prompt': 'figs ' * 110_000,
        'max_tokens': 4,
    }
    answer = running.ask(
        'POST',
        '/v1/completions',
        msgspec.json.encode(body),
    )
    assert answer.status == 200, answer.data
    assert answer.json()['usage']['completion_tokens'] == 4


@pytest.mark.parametrize(
    ('path', 'body', 'headers', 'status', 'reason'),
    [
        ('/v1/completions', b'{', {}, 400, 'bad_request'),
        ('/v1/nothing', b'', {}, 404, 'bad_request'),
        ('/v1/services/none/x', b'', {}, 404, 'unknown_service'),
        (
            '/v1/completions',
            b'{"model": "none", "prompt": "x"}',
            {},
            404,
            'unknown_model',
        ),
        (
            '/v1/completions',
            b'{}',
            {'Authorization': 'Bearer wrong'},
            401,
            'unauthorized',
        ),
        ('/v1/completions', b'x' * 17_000_000, {}, 413, 'too_large'),
        (
            '/v1/completions',
            b'{"model": "caption-7b", "prompt": "x"}',
            {'X-Time-Limit-S': '-1'},
            400,
            'bad_request',
        ),
    ],
)
def test_invalid_request_is_refused_as_not_run(
    running: RunningSystem,
    path: str,
    body: bytes,
    headers: dict[str, str],
    status: int,
    reason: str,
) -> None:
    """The answer is a problem with the right status, not a traceback."""
    answer = running.ask('POST', path, body, headers)
    problem = answer.json()
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert (answer.status, problem['outcome'], problem['reason']) == (
        status,
        'not_run',
        reason,
    )


def _make_openai_client(entry: Process) -> openai.OpenAI:
    return openai.OpenAI(
        api_key=KEY,
        base_url='http://127.0.0.1:{0}/v1'.format(entry.port),
        max_retries=0,
        timeout=20,
    )
