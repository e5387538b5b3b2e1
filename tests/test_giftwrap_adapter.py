"""Tests of the Gift Wrap adapter: codec, settings and process start."""

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from bench.giftwrap.deployment import make_configuration, make_settings
from hypothesis import given
from hypothesis import strategies as st

from figspread.direct.adapter import (
    ForwardedAttempt,
    MalformedMessage,
    ReservationOrder,
)
from figspread.direct.model import (
    ApiKey,
    CallKind,
    ColdStart,
    UpstreamState,
)
from figspread.http1.client import Head
from figspread.http1.fields import find_field
from figspread.http1.requests import Request
from figspread.ids import ServiceName, UpstreamId, WorkspaceId
from giftwrap.settings import (
    SettingsError,
    decode_settings,
    read_fields,
    read_local_settings,
)
from giftwrap.wire import GiftWrapWire
from tests.test_direct_state import make_upstream

WIRE = GiftWrapWire()
REQUEST_ID_FIELD = (b'x-figspread-request-id', b'r')
SIGNATURE_FIELD = (b'x-figspread-server-signature', b's')
SERVER = {
    'service': 'pool',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 4,
    'born': 12,
}

_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(SERVER)), inner, max_size=4)
    ),
    max_leaves=8,
)


@given(document=st.binary(max_size=50) | _json.map(json.dumps))
def test_any_upstream_record_is_decoded_or_malformed(
    document: bytes | str,
) -> None:
    """Decode any upstream record or raise `MalformedMessage`, nothing else."""
    encoded = document.encode() if isinstance(document, str) else document
    try:
        WIRE.decode_upstream('e', encoded)
    except MalformedMessage:
        return


@given(name=st.sampled_from(sorted(SERVER)), content=_json)
def test_upstream_with_one_odd_field_is_valid_or_malformed(
    name: str, content: Any
) -> None:
    """Decode a record with one odd field to a valid upstream, or fail."""
    odd = json.dumps({**SERVER, name: content}).encode()
    try:
        upstream = WIRE.decode_upstream('e', odd)
    except MalformedMessage:
        return
    assert upstream.upstream == 'e'
    assert ':' in upstream.address
    assert isinstance(upstream.slots, int)


def test_upstream_is_decoded() -> None:
    """Decode the state and start time of an upstream."""
    upstream = WIRE.decode_upstream('e', json.dumps(SERVER).encode())
    assert upstream.state is UpstreamState.READY
    assert upstream.started_ms == 12


@pytest.mark.parametrize('missing', ['service', 'address', 'zone', 'state'])
def test_upstream_without_a_required_field_is_malformed(missing: str) -> None:
    """Reject an upstream record without a required field."""
    remaining = {name: text for name, text in SERVER.items() if name != missing}
    with pytest.raises(MalformedMessage):
        WIRE.decode_upstream('e', json.dumps(remaining).encode())


@given(document=st.binary(max_size=50) | _json.map(json.dumps))
def test_arbitrary_configuration_is_malformed(
    document: bytes | str,
) -> None:
    """Raise `MalformedMessage` for arbitrary input, nothing else."""
    encoded = document.encode() if isinstance(document, str) else document
    with pytest.raises(MalformedMessage):
        WIRE.decode_deployment(encoded)


def test_configuration_is_decoded() -> None:
    """Decode routes, services and keys of a configuration."""
    configuration = make_configuration(7)
    configuration['routes'][0]['trafficSplit'] = [
        {'service': 'pool', 'weight': 90},
        {'service': 'desk', 'weight': 10},
    ]
    deployment = WIRE.decode_deployment(json.dumps(configuration).encode())
    caption, once, status, order = deployment.routes
    assert [share.weight for share in caption.shares] == [90, 10]
    assert caption.is_repeatable
    assert not once.is_repeatable
    assert status.kind is CallKind.IDEMPOTENT
    assert order.kind is CallKind.ONCE
    assert (caption.target_latency_s, caption.target_gap_s) == (0.3, 0.2)
    assert deployment.services[ServiceName('pool')].engine is not None
    assert deployment.services[ServiceName('desk')].engine is None
    assert deployment.keys[ApiKey('key-1')].workspace == 'studio'


def _request(*fields: tuple[bytes, bytes]) -> Request:
    return Request(b'POST', b'/a/b?c=d', [REQUEST_ID_FIELD, *fields], b'')


INVALID_REQUESTS = {
    'no id': Request(b'GET', b'/', [], b''),
    'odd deadline': _request((b'x-figspread-request-deadline', b'soon')),
    'odd sizes': _request((b'x-figspread-token-usage', b'many,few')),
}


@pytest.mark.parametrize('case', INVALID_REQUESTS)
def test_invalid_requests_are_malformed(case: str) -> None:
    """Reject requests with missing or invalid headers."""
    with pytest.raises(MalformedMessage):
        WIRE.decode_request(INVALID_REQUESTS[case])


PREFIXES = {
    '': (),
    '5c1e07a2:800': (),
    '5c1e07a2:800,91bd3f06:410,e4402b7d:250': ('5c1e07a2', '91bd3f06'),
    ' 5C1E07A2 : 800 , own:1': ('5c1e07a2',),
    ':800,91bd3f06,own:1': ('91bd3f06',),
    ',,': (),
    'a:x,b:-1,c': ('a', 'b'),
}


@pytest.mark.parametrize('field', PREFIXES)
def test_all_parts_of_a_prompt_but_the_last_are_shared(field: str) -> None:
    """Decode whatever a caller says of its prompt, and pass it on as it came."""
    raw = (b'x-figspread-prompt-prefix', field.encode())
    request = WIRE.decode_request(_request(raw))
    assert request.shared_parts == PREFIXES[field]
    onward = ForwardedAttempt(UpstreamId('e'), 1, None)
    assert raw in WIRE.encode_attempt_fields(request, onward)


def test_reserved_headers_of_a_caller_are_removed() -> None:
    """Replace or drop reserved and hop-by-hop headers of a caller."""
    own = (
        b'x-figspread-helpers',
        b'x-figspread-tenant',
        b'x-figspread-expect-instance',
        b'x-figspread-request-priority',
        b'authorization',
        b'connection',
        b'x-named',
    )
    request = WIRE.decode_request(
        _request(
            *((name, b'x-named') for name in own),
            (b'x-kept', b'1'),
        ),
    )
    onward = ForwardedAttempt(UpstreamId('e-1'), 1.5, WorkspaceId('studio'))
    fields = WIRE.encode_attempt_fields(request, onward)
    assert find_field(fields, b'x-kept') == '1'
    assert find_field(fields, b'x-figspread-tenant') == 'studio'
    assert find_field(fields, b'x-figspread-expect-instance') == 'e-1'
    assert find_field(fields, b'x-figspread-request-deadline') == '1500'
    names = [name for name, _ in fields]
    assert b'x-figspread-helpers' not in names
    assert b'authorization' not in names
    assert b'x-named' not in names


def test_helpers_are_listed_with_their_tickets() -> None:
    """List helpers, with a ticket where there is one."""
    request = WIRE.decode_request(_request())
    onward = ForwardedAttempt(
        UpstreamId('e-1'),
        1,
        None,
        helpers=(('10.0.0.1:80', 't1'), ('10.0.0.2:80', '')),
    )
    fields = WIRE.encode_attempt_fields(request, onward)
    assert find_field(fields, b'x-figspread-helpers') == (
        '10.0.0.1:80/t1,10.0.0.2:80'
    )


# Status and headers of an answer; `has_run` and `is_genuine` of its verdict.
ANSWERS = {
    'signed': (200, [REQUEST_ID_FIELD, SIGNATURE_FIELD], True, True),
    'unsigned': (200, [REQUEST_ID_FIELD], True, False),
    'of another request': (
        200,
        [(b'x-figspread-request-id', b'q'), SIGNATURE_FIELD],
        True,
        False,
    ),
    'without an id': (200, [SIGNATURE_FIELD], True, False),
    'coded': (
        200,
        [REQUEST_ID_FIELD, SIGNATURE_FIELD, (b'content-encoding', b'gzip')],
        True,
        False,
    ),
    'a failure of its own': (
        500,
        [REQUEST_ID_FIELD, SIGNATURE_FIELD],
        True,
        True,
    ),
    'not executed': (
        503,
        [(b'x-figspread-not-executed', b'1')],
        False,
        True,
    ),
    'not executed, of another request': (
        503,
        [
            (b'x-figspread-request-id', b'q'),
            (b'x-figspread-not-executed', b'1'),
        ],
        True,
        False,
    ),
    'another instance': (421, [], False, True),
    'another instance, of another request': (
        421,
        [(b'x-figspread-request-id', b'q')],
        True,
        False,
    ),
    'a failure that may have run': (503, [REQUEST_ID_FIELD], True, True),
}


@pytest.mark.parametrize('case', ANSWERS)
def test_answers_are_classified(case: str) -> None:
    """Classify answers by status, id and signature."""
    status, fields, has_run, is_genuine = ANSWERS[case]
    verdict = WIRE.classify_answer(
        WIRE.decode_request(_request()),
        Head(status, fields),
    )
    assert (verdict.has_run, verdict.is_genuine) == (has_run, is_genuine)


def test_reservation_calls_name_the_instance() -> None:
    """Name the engine's instance in calls that reserve and release."""
    reserve = WIRE.encode_reservation(
        make_upstream(), ReservationOrder('t', 500, 3.5)
    )
    assert json.loads(reserve.body) == {
        'operation': 'reserve',
        'id': 't',
        'tokens': 500,
        'holdMs': 3500,
    }
    assert find_field(reserve.fields, b'x-figspread-expect-instance') == 'e-1'
    release = WIRE.encode_reservation(make_upstream(), ReservationOrder('t'))
    assert json.loads(release.body) == {'operation': 'release', 'id': 't'}


def test_settings_are_decoded(tmp_path: Path) -> None:
    """Decode the platform's settings and ignore unknown fields."""
    path = tmp_path / 'settings.conf'
    text = make_settings('vm', '10.0.0.9:1', '10.0.0.1', [1, 2, 3, 4])
    path.write_text('{0}newField=1\nseeds=10.0.0.2:9\n'.format(text))
    cfg, store = decode_settings(read_fields(path))
    assert cfg.seeds == ('10.0.0.2:3',)
    assert (cfg.peers, cfg.metrics) == ('10.0.0.1:3', '10.0.0.1:9100')
    assert store == '10.0.0.9:1'


def test_settings_of_cold_engines_evacuations_and_regions_are_decoded(
    tmp_path: Path,
) -> None:
    """Guard against parts of the entry that stay off where they are asked for.

    They are off where the platform's file doesn't name them.
    """
    path = tmp_path / 'settings.conf'
    plain = make_settings('e', '10.0.0.9:1', '10.0.0.1', [1, 2, 3, 4])
    path.write_text(plain)
    cfg, _ = decode_settings(read_fields(path))
    assert (cfg.evacuation_s, cfg.cold_factor, cfg.cold_slack) == (0, 1, 0)
    assert not cfg.regions
    path.write_text(
        plain
        + 'bounds.evacuationMs=5000\nbounds.coldOverage=1.5\n'
        + 'bounds.coldSlack=5\nzones.a=north\nzones.b=south\n'
    )
    cfg, _ = decode_settings(read_fields(path))
    assert (cfg.evacuation_s, cfg.cold_factor, cfg.cold_slack) == (5, 1.5, 5)
    assert cfg.regions == {'a': 'north', 'b': 'south'}


def test_cold_start_and_home_regions_are_decoded() -> None:
    """Guard against limits and home regions of a service that are not kept."""
    configuration = make_configuration(7)
    configuration['services'][0] |= {'coldStartS': 3.0, 'coldPerS': 34.0}
    configuration['services'][1] |= {'coldStartS': 0, 'coldPerS': 0}
    configuration['routes'][0]['homeRegions'] = ['north']
    configuration['tenants'][0]['homeRegions'] = ['north', 'south']
    deployment = WIRE.decode_deployment(json.dumps(configuration).encode())
    pool, desk = deployment.services.values()
    assert pool.cold_start == ColdStart(3, 34)
    assert desk.cold_start is None
    assert deployment.routes[0].home_regions == {'north'}
    assert not deployment.routes[1].home_regions
    workspace = next(iter(deployment.keys.values()))
    assert workspace.home_regions == {'north', 'south'}


def test_time_that_an_upstream_stays_cold_is_decoded() -> None:
    """Guard against a cold engine that is taken for a warm one."""
    record = json.dumps({**SERVER, 'coldRemainingMs': 2500}).encode()
    assert WIRE.decode_upstream('e', record).cold_s == 2.5
    warm = WIRE.decode_upstream('e', json.dumps(SERVER).encode())
    assert warm.cold_s == 0


def test_all_settings_errors_are_reported_together() -> None:
    """Report all errors of the settings in one exception."""
    with pytest.raises(SettingsError) as caught:
        decode_settings({'bounds.graceS': 'long', 'internalPorts': '1'})
    message = str(caught.value)
    for fault in ('nodeName', 'graceS is not a number', 'internalPorts'):
        assert fault in message


INVALID_OWN_SETTINGS = {
    'unknown field': 'port = 1',
    'odd level': 'log_level = "loud"',
    'no number': 'metrics_port = "many"',
    'no TOML': 'log_level =',
}


@pytest.mark.parametrize('case', INVALID_OWN_SETTINGS)
def test_invalid_own_settings_are_rejected(case: str, tmp_path: Path) -> None:
    """Reject an invalid TOML file; the error names the file."""
    path = tmp_path / 'entry.toml'
    path.write_text(INVALID_OWN_SETTINGS[case])
    with pytest.raises(SettingsError, match='entry.toml'):
        read_local_settings(path)


def test_deployed_own_settings_are_valid() -> None:
    """Decode the TOML file of the deployment."""
    path = Path(__file__).parent.parent / 'deploy' / 'entry.toml'
    assert read_local_settings(path).log_level == 'info'


def test_sighup_during_imports_is_ignored() -> None:
    """Ignore SIGHUP while the process imports its modules."""
    root = Path(__file__).parent.parent
    completed = subprocess.run(  # noqa: S603
        (
            sys.executable,
            '-c',
            'import signal, entry; print(signal.getsignal(signal.SIGHUP))',
        ),
        env={'PYTHONPATH': '{0}/platform:{0}/src'.format(root)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert int(completed.stdout) == signal.SIG_IGN
