"""Tests of the stand-ins as processes."""

import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec
import pytest
import urllib3

from figspread.cli.standin import EXIT_CRASHED
from figspread.ids import AttemptId
from figspread.upstream.engine import HttpEngine
from figspread.upstream.types import UpstreamCall, UpstreamFaultKind

RUN = 'from figspread.cli.standin import main; main()'


@contextmanager
def run_standin(*options: str) -> Iterator[tuple[subprocess.Popen[bytes], str]]:
    """Run a stand-in; yield its process and its URL."""
    command = [sys.executable, '-c', RUN, *options]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout
        started = msgspec.json.decode(process.stdout.readline())
        try:
            yield process, started['url']
        finally:
            process.kill()


@pytest.mark.parametrize(
    'kind',
    ['engine', 'service', 'objects', 'vms', 'weights'],
)
def test_each_standin_listens_until_terminated(kind: str) -> None:
    """A stand-in prints its URL; SIGTERM ends it with exit code 0."""
    with run_standin(kind, '--lifetime-s', '60') as (process, url):
        answer = urllib3.request(
            'PUT', '{0}/standin/faults'.format(url), body=b'{"no":1}'
        )
        assert answer.status == 400
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0


def test_standin_stops_after_its_lifetime() -> None:
    """A stand-in that nobody stops must not run for ever."""
    with run_standin('service', '--lifetime-s', '0.2') as (process, _):
        assert process.wait(20) == 0


def test_crash_marker_ends_the_engine_process() -> None:
    """The engine crashes while it runs the request with the marker."""
    with run_standin('engine', '--lifetime-s', '60') as (process, url):
        faults = {'die_on_marker': 'boom'}
        urllib3.request('PUT', '{0}/standin/faults'.format(url), json=faults)
        body = {'model': 'figspread-small', 'prompt': 'a boom'}
        with pytest.raises(urllib3.exceptions.ProtocolError):
            urllib3.request(
                'POST',
                '{0}/v1/completions'.format(url),
                json=body,
                retries=False,
            )
        assert process.wait(20) == EXIT_CRASHED


def test_crashing_engine_breaks_other_streams() -> None:
    """Other requests on a crashed engine get a broken stream.

    Their answers must not look complete, and a request after the crash must
    fail as not sent.
    """
    with run_standin('engine', '--lifetime-s', '60') as (process, url):
        client = HttpEngine(url)
        bystander = client.submit(make_call('att-1', 'fine')).unwrap()
        parts = iter(bystander)
        assert next(parts)
        faults = {'die_on_marker': 'boom'}
        urllib3.request('PUT', '{0}/standin/faults'.format(url), json=faults)
        crashing = client.submit(make_call('att-2', 'a boom')).unwrap_err()
        assert crashing.kind is UpstreamFaultKind.BROKEN
        assert process.wait(20) == EXIT_CRASHED
        list(parts)
        assert bystander.fault
        assert bystander.fault.kind is UpstreamFaultKind.BROKEN
        again = client.submit(make_call('att-3', 'fine')).unwrap_err()
        assert again.kind is UpstreamFaultKind.NOT_SENT


def make_call(attempt: str, prompt: str) -> UpstreamCall:
    """Return a completion that streams for minutes."""
    body = {
        'model': 'figspread-small',
        'prompt': prompt,
        'max_tokens': 20_000,
        'stream': True,
    }
    return UpstreamCall(
        AttemptId(attempt),
        '/v1/completions',
        msgspec.json.encode(body),
    )


@pytest.mark.parametrize(
    'options',
    [
        ('engine', '--lifetime-s', '0'),
        ('engine', '--kv-tokens', '-1'),
        ('service', '--port', '70000'),
        ('service', '--host', '192.0.2.1'),
        ('nonsense',),
    ],
)
def test_invalid_options_fail_with_an_error(options: tuple[str, ...]) -> None:
    """Invalid options give an error, no traceback and an exit code above 0."""
    done = subprocess.run(
        [sys.executable, '-c', RUN, *options],
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert done.returncode
    assert b'Error' in done.stderr
    assert b'Traceback' not in done.stderr
