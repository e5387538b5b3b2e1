"""Callers' requests are checked before they are sent to an upstream."""

import msgspec
import pytest
from bench.entry_cases import COMPLETION, WORKSPACE
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from figspread.config.fleet import Fleet, Route, ServiceRecord
from figspread.entry.completion import (
    CompletionApi,
    join_events,
    parse_completion,
)
from figspread.entry.request_parsing import (
    HttpRequest,
    TimeLimits,
    is_repeatable,
    parse_completion_request,
    parse_service_request,
)
from figspread.ids import RequestId, ServiceName
from figspread.outcome import NotRun, NotRunReason

LIMITS = TimeLimits(60, 600)
VALID_BODY = b'{"model": "m", "prompt": "hello", "max_tokens": 4, "seed": 7}'


@pytest.mark.parametrize(
    ('shape', 'body', 'words'),
    [
        (CompletionApi.TEXT, b'', 'truncated'),
        (CompletionApi.TEXT, b'[]', 'Expected `object`'),
        (CompletionApi.TEXT, b'{"model": 3, "prompt": "x"}', 'Expected `str`'),
        (CompletionApi.TEXT, b'{"model": "m"}', 'prompt:'),
        (CompletionApi.TEXT, b'{"model": "m", "prompt": ""}', 'prompt:'),
        (
            CompletionApi.TEXT,
            b'{"model": "m", "prompt": ["a"]}',
            'Expected `int`',
        ),
        (
            CompletionApi.TEXT,
            b'{"model": "m", "prompt": "x", "max_tokens": -1}',
            'max_tokens:',
        ),
        (
            CompletionApi.TEXT,
            b'{"model": "m", "prompt": "x", "max_tokens": "many"}',
            'Expected `int',
        ),
        (CompletionApi.TEXT, b'{"model": "m", "prompt": "x", "n": 2}', 'n:'),
        (CompletionApi.CHAT, b'{"model": "m", "messages": []}', 'messages:'),
        (CompletionApi.CHAT, b'{"model": "m", "messages": [{}]}', 'role'),
        (CompletionApi.TEXT, b'[' * 100_000, ''),
        (CompletionApi.TEXT, b'\xff\xfe', ''),
    ],
)
def test_invalid_completion_body_is_rejected_with_reason(
    shape: CompletionApi,
    body: bytes,
    words: str,
) -> None:
    """An invalid body is rejected with an error that names the fault."""
    match parse_completion(shape, body):
        case Err(problem):
            assert words in problem
        case Ok(_):
            pytest.fail('the invalid body was accepted')


@settings(derandomize=True, deadline=None)
@given(body=st.binary(max_size=200))
def test_no_body_raises(body: bytes) -> None:
    """Any bytes are taken or explained."""
    assert isinstance(parse_completion(CompletionApi.TEXT, body), Ok | Err)


def test_unstreamed_completion_asks_engine_to_stream() -> None:
    """The body sent to the engine has `stream` set, all other fields kept."""
    completion = parse_completion(CompletionApi.TEXT, VALID_BODY).unwrap()
    assert msgspec.json.decode(completion.body) == {
        'model': 'm',
        'prompt': 'hello',
        'max_tokens': 4,
        'seed': 7,
        'stream': True,
    }
    assert not completion.is_streamed


@pytest.mark.parametrize('limit', ['0', '-3', 'soon', 'nan', 'inf'])
def test_invalid_time_limit_is_rejected(limit: str) -> None:
    """A time limit that isn't a finite number above 0 is a bad request."""
    http_req = HttpRequest(
        'POST', '/v1/completions', {'X-Time-Limit-S': limit}, VALID_BODY
    )
    match parse_completion_request(
        http_req, CompletionApi.TEXT, WORKSPACE, LIMITS
    ):
        case Err(NotRun(reason=reason)):
            assert reason is NotRunReason.BAD_REQUEST
        case _:
            pytest.fail('the invalid time limit was accepted')


def test_time_limit_is_capped() -> None:
    """A time limit above the entry's maximum is cut to the maximum."""
    http_req = HttpRequest(
        'POST', '/v1/completions', {'X-Time-Limit-S': '1e6'}, VALID_BODY
    )
    parsed = parse_completion_request(
        http_req, CompletionApi.TEXT, WORKSPACE, LIMITS
    )
    assert parsed.unwrap().time_limit_s == 600


DESK_SERVICE = ServiceRecord(
    ServiceName('desk'),
    (
        Route('GET', '/status/*', is_repeatable=True),
        Route('POST', '/jobs', is_repeatable=False),
        Route('POST', '/search', is_repeatable=True),
    ),
)


@pytest.mark.parametrize(
    ('method', 'path', 'expected'),
    [
        ('GET', '/status/4', True),
        ('GET', '/status/4?full=1', True),
        ('POST', '/status/4', False),
        ('POST', '/jobs', False),
        ('POST', '/search', True),
        ('POST', '/search/x', False),
        ('DELETE', '/other', False),
    ],
)
def test_only_repeatable_route_allows_repeat(
    method: str,
    path: str,
    expected: bool,
) -> None:
    """A request may be repeated only if the first matching route says so."""
    assert is_repeatable(DESK_SERVICE, method, path) is expected


def test_service_request_keeps_path_and_end_to_end_headers() -> None:
    """Headers for the entry or the caller's connection aren't forwarded."""
    fleet = Fleet(services={DESK_SERVICE.service: DESK_SERVICE})
    http_req = HttpRequest(
        'POST',
        '/v1/services/desk/jobs?copies=2',
        {'Authorization': 'Bearer x', 'Accept': '*/*', 'Host': 'h'},
        b'order',
    )
    req = parse_service_request(http_req, fleet, WORKSPACE, LIMITS).unwrap()
    assert (req.path, req.headers) == ('/jobs?copies=2', {'Accept': '*/*'})
    assert not req.is_repeatable


def test_unknown_service_is_rejected() -> None:
    """A service missing from the configuration is refused as unknown."""
    http_req = HttpRequest('GET', '/v1/services/none/x', {}, b'')
    match parse_service_request(http_req, Fleet(), WORKSPACE, LIMITS):
        case Err(NotRun(reason=reason)):
            assert reason is NotRunReason.UNKNOWN_SERVICE
        case _:
            pytest.fail('the request for an unknown service was accepted')


def test_stream_events_join_into_one_response() -> None:
    """The joined response has the text, finish reason and usage of all events."""
    stream = (
        b'data: {"choices": [{"text": "to"}], "created": 5}\n\n'
        b'data: {"choices": [{"text": "day", "finish_reason": "stop"}]}\n\n'
        b'data: {"choices": [], "usage": {"total_tokens": 3}}\n\n'
        b'data: [DONE]\n\n'
    )
    joined = join_events(COMPLETION, RequestId('req-1'), stream).unwrap()
    answer = msgspec.json.decode(joined)
    assert answer['choices'][0]['text'] == 'today'
    assert answer['choices'][0]['finish_reason'] == 'stop'
    assert answer['usage'] == {'total_tokens': 3}
