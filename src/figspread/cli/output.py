"""Output of the operator commands, as text or JSON, and their exit codes."""

import sys
from collections.abc import Callable, Iterable, Sequence
from enum import IntEnum
from typing import Any, Final, NoReturn, TypeVar

import click
import msgspec
from tabulate import tabulate

from figspread.config.faults import Fault

_Command = TypeVar('_Command', bound=Callable[..., Any])


class ExitCode(IntEnum):
    """Exit codes of the operator commands.

    `FAILED`: it could not be done, for example a process does not answer.
    `INVALID_INPUT`: a file or an argument is invalid; nothing was done.
    `CONFLICT`: another note was applied first; this one was not applied.
    `UNCLEAR`: it may have been done; the same command may be run again.
    """

    DONE = 0
    FAILED = 1
    INVALID_INPUT = 2
    CONFLICT = 3
    UNCLEAR = 4


class CommandOutput:
    """Prints the result of a command as text or as one JSON document."""

    def __init__(self, *, as_json: bool) -> None:
        """Print JSON if `as_json`."""
        self._as_json = as_json

    def print_result(self, document: object, text: str) -> None:
        """Print `document` as JSON, or `text`."""
        if self._as_json:
            click.echo(_to_json(document))
        else:
            click.echo(replace_unprintable(text))

    def print_warning(self, text: str) -> None:
        """Print `text` on standard error."""
        click.echo(replace_unprintable(text), err=True)

    def fail(
        self,
        code: ExitCode,
        text: str,
        document: dict[str, object] | None = None,
    ) -> NoReturn:
        """Print an error and exit with `code`."""
        if self._as_json:
            error = {'error': text, 'exit_code': code.value}
            click.echo(_to_json({**error, **(document or {})}))
        else:
            click.echo('Error: {0}'.format(replace_unprintable(text)), err=True)
        sys.exit(code)

    def fail_with_faults(self, faults: Sequence[Fault]) -> NoReturn:
        """Print all faults of a file and end with `INVALID_INPUT`."""
        if self._as_json:
            click.echo(_to_json({'faults': faults}))
        else:
            for fault in faults:
                click.echo(replace_unprintable(str(fault)), err=True)
            click.echo('Faults: {0}'.format(len(faults)), err=True)
        sys.exit(ExitCode.INVALID_INPUT)


def replace_unprintable(text: str) -> str:
    """Return `text` with `?` for each character that could control a terminal.

    Line breaks stay.
    """
    return ''.join(
        char if char.isprintable() or char == '\n' else '?' for char in text
    )


def make_table(
    headers: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> str:
    """Return `rows` as a plain table."""
    return tabulate(
        list(rows),
        headers=headers,
        tablefmt='simple',
        disable_numparse=True,
    )


JSON_OPTION: Final = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print one JSON document.',
)


def with_json_option(command: _Command) -> _Command:
    """Add the option `--json` to a command, as its argument `as_json`."""
    return JSON_OPTION(command)


def _to_json(document: object) -> str:
    return msgspec.json.format(msgspec.json.encode(document)).decode()
