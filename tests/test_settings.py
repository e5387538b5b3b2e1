"""Tests of process settings: defaults, faults and printed examples."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok
from syrupy.assertion import SnapshotAssertion

from figspread.config.example import render_example
from figspread.config.settings import (
    AgentSettings,
    EntrySettings,
    load_settings,
    parse_settings,
)

ENTRY = """\
vm = "entry-1"
data_centre = "mu-north-a"
region = "mu-north"
operator_port = 9001
inner_secret = { environment = "FIGSPREAD_SECRET" }

[http]
host = "10.0.0.5"
port = 8000

[object_api]
url = "http://10.0.0.2:7000/"

[vm_list]
url = "http://10.0.0.2:7001"
"""
SECRET = 'sixteen-bytes-or-more'


def test_missing_settings_get_defaults(tmp_path: Path) -> None:
    """A file with only the required keys is accepted."""
    path = tmp_path / 'entry.toml'
    path.write_text(ENTRY)
    environ = {'FIGSPREAD_SECRET': SECRET}
    cfg = load_settings(path, EntrySettings, environ).unwrap()
    assert cfg.object_api.url == 'http://10.0.0.2:7000'
    assert cfg.http.body_limit_bytes == 16 * 1024 * 1024
    assert cfg.http.admitted_requests < cfg.http.threads
    assert SECRET not in repr(cfg)


@pytest.mark.parametrize(
    ('old', 'new', 'expected'),
    [
        ('port = 8000', 'port = 70000', 'entry.toml:9: http.port'),
        ('port = 8000', 'prt = 8000', 'entry.toml:9: http.prt: unknown key'),
        ('vm = "entry-1"\n', '', 'entry.toml: vm: is missing'),
        ('"10.0.0.5"', '"localhost"', 'allowed: an IP address'),
        ('7001"', '7001x"', 'entry.toml:15: vm_list.url'),
        ('region =', 'heartbeat_s = 9\nregion =', 'silence_s must be'),
        ('region =', 'join_ms = 30\nregion =', 'less than 30'),
        ('port = 8000', 'port = 8000\nthreads = 8', 'admitted_requests must'),
        ('region =', 'default_time_limit_s = 900\nregion =', 'not exceed'),
        ('region =', 'region "', 'entry.toml:3: not TOML'),
        ('environment', 'envronment', 'inner_secret.envronment'),
        ('"FIGSPREAD_SECRET"', '"OTHER"', 'OTHER is not set'),
        (
            'environment = "FIGSPREAD_SECRET"',
            'file = "nowhere"',
            'No such file',
        ),
        ('environment = "FIGSPREAD_SECRET"', r'file = "\u0000"', 'null'),
        ('"FIGSPREAD_SECRET"', '"SHORT"', 'must have 16 to 4096 bytes'),
        ('port = 8000', 'port = "8000"', "is '8000' (allowed: a valid integer"),
        ('region =', 'heartbeat_s = nan\nregion =', 'is nan'),
    ],
)
def test_wrong_settings_are_reported(
    tmp_path: Path,
    old: str,
    new: str,
    expected: str,
) -> None:
    """A fault has the file, line and key and says what is allowed."""
    path = tmp_path / 'entry.toml'
    path.write_text(ENTRY.replace(old, new))
    environ = {'FIGSPREAD_SECRET': SECRET, 'SHORT': 'secret'}
    faults = load_settings(path, EntrySettings, environ).unwrap_err()
    assert expected in '\n'.join(map(str, faults))


@settings(derandomize=True, deadline=None)
@given(st.one_of(st.binary(), st.text().map(str.encode)))
def test_arbitrary_bytes_never_raise(raw: bytes) -> None:
    """Bytes that are not a settings file give faults and no exception."""
    match parse_settings(raw, AgentSettings, file='agent.toml'):
        case Err(faults):
            assert faults
        case Ok(cfg):
            pytest.fail(str(cfg))


@pytest.mark.parametrize('model', [EntrySettings, AgentSettings])
def test_printed_example_is_valid(
    model: type[EntrySettings] | type[AgentSettings],
    snapshot: SnapshotAssertion,
) -> None:
    """The output of `--print-example` is accepted as a settings file."""
    example = render_example(model)
    assert parse_settings(example.encode(), model, file='x').is_ok()
    assert example == snapshot


@pytest.mark.parametrize('model', [EntrySettings, AgentSettings])
def test_printed_example_is_valid_with_optional_tables(
    model: type[EntrySettings] | type[AgentSettings],
) -> None:
    """The example stays valid once its optional tables are uncommented."""
    example = render_example(model)
    lines = [
        line if line.startswith('# ') else line.removeprefix('#')
        for line in example.splitlines()
    ]
    text = '\n'.join(lines)
    match parse_settings(text.encode(), model, file='x'):
        case Ok(cfg):
            assert cfg.otlp and cfg.tls
        case Err(faults):
            pytest.fail('\n'.join(map(str, faults)))
