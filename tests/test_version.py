"""All programs say which version they are."""

import subprocess
import sys
from pathlib import Path

import click
import pytest
from click.testing import CliRunner

from figspread import __version__
from figspread.cli.agent import main as run_agent
from figspread.cli.entry import main as run_entry
from figspread.cli.load import main as run_load
from figspread.cli.operator import main as run_operator
from figspread.cli.standin import main as run_standin

COMMANDS = {
    'figspread': run_operator,
    'figspread-agent': run_agent,
    'figspread-entry': run_entry,
    'figspread-load': run_load,
    'figspread-standin': run_standin,
}


@pytest.mark.parametrize('name', COMMANDS)
def test_command_prints_its_name_and_version(name: str) -> None:
    """Bug reports need the version, also of a program that can't start."""
    command: click.Command = COMMANDS[name]
    result = CliRunner().invoke(command, ['--version'])
    assert result.exit_code == 0, result.output
    assert result.output == '{0}, version {1}\n'.format(name, __version__)


def test_platform_entry_prints_its_version() -> None:
    """The entry on the Gift Wrap platform has no other options."""
    root = Path(__file__).parents[1]
    printed = subprocess.run(
        [sys.executable, str(root / 'platform' / 'entry.py'), '--version'],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert printed.stdout == 'figspread entry, version {0}\n'.format(
        __version__
    )
