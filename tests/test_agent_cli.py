"""Tests of the command `figspread-agent`."""

import socket
from pathlib import Path

import pytest
from click.testing import CliRunner

from figspread.cli.agent import main
from figspread.config.settings import AgentSettings, parse_settings

SETTINGS = """
vm = "desk-a"
data_centre = "mu-a"
region = "mu-north"
operator_port = 0
upstream = "desk-a"
kind = "service"
upstream_url = "http://127.0.0.1:9"
[inner]
host = "127.0.0.1"
port = {port}
[inner_secret]
environment = "FIGSPREAD_SECRET"
[object_api]
url = "http://127.0.0.1:9"
"""


def test_printed_example_is_valid() -> None:
    """The printed example settings can be parsed."""
    printed = CliRunner().invoke(main, ['--print-example'])
    assert printed.exit_code == 0
    parsed = parse_settings(
        printed.output.encode(),
        AgentSettings,
        file='example',
    )
    assert parsed.is_ok(), parsed


def test_invalid_settings_print_every_fault(tmp_path: Path) -> None:
    """The exit code is 2, and the key of each fault is printed."""
    path = tmp_path / 'agent.toml'
    path.write_text('vm = 5\nreconcile_s = -1\nnonsense = true\n')
    finished = CliRunner().invoke(main, ['--settings', str(path)])
    assert finished.exit_code == 2
    for key in ('vm', 'reconcile_s', 'nonsense', 'upstream_url'):
        assert key in finished.output


def test_address_in_use_fails_with_exit_code_1(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An address in use gives no traceback, and exit code 1, not 2."""
    monkeypatch.setenv('FIGSPREAD_SECRET', 'a-secret-for-the-tests-only')
    path = tmp_path / 'agent.toml'
    with socket.create_server(('127.0.0.1', 0)) as listener:
        path.write_text(SETTINGS.format(port=listener.getsockname()[1]))
        finished = CliRunner().invoke(main, ['--settings', str(path)])
    assert finished.exit_code == 1
    assert 'cannot start' in finished.output
    assert 'Traceback' not in finished.output


def test_missing_settings_file_fails_with_exit_code_2(tmp_path: Path) -> None:
    """A missing settings file gives exit code 2 and is named."""
    path = tmp_path / 'none.toml'
    finished = CliRunner().invoke(main, ['--settings', str(path)])
    assert finished.exit_code == 2
    assert 'none.toml' in finished.output
