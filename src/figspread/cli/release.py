"""Commands for release notes: `release check`, `apply`, `show`, `history`."""

from pathlib import Path
from typing import Final

import click
import msgspec
from result import Err, Ok

from figspread.cli.head_view import HeadView, print_applied
from figspread.cli.listing import (
    convert_fleet,
    describe_changes,
    describe_fleet,
)
from figspread.cli.output import (
    CommandOutput,
    ExitCode,
    make_table,
    with_json_option,
)
from figspread.cli.urls import OBJECT_API_OPTION
from figspread.config.note import Note, parse_note
from figspread.config.toml import read_file
from figspread.duties.commit import (
    CommitConflict,
    Committed,
    CommitTooLarge,
    CommitUnavailable,
    CommitUnclear,
    commit,
)
from figspread.duties.head import NoteText, load_note
from figspread.platform.objects import VALUE_LIMIT_BYTES
from figspread.platform.types import Unavailable

_FILE_ARGUMENT: Final = click.argument(
    'file',
    type=click.Path(path_type=Path),
)


@click.group()
def release() -> None:
    """Check and apply release notes, and show what is in force."""


@release.command()
@_FILE_ARGUMENT
@OBJECT_API_OPTION
@with_json_option
def check(file: Path, url: str, *, as_json: bool) -> None:
    """Check the release note FILE against the configuration in force.

    Lists all faults at once and exits with 2 if there are any.
    """
    output = CommandOutput(as_json=as_json)
    note, text = _read_note(output, file, operator='')
    view = HeadView(url, as_json=as_json)
    fleet = view.build_next_fleet(note, text)
    output.print_result(
        {'note': note.note, 'faults': [], 'would_be_number': fleet.number},
        'no faults; it would be number {0}\n\n{1}'.format(
            fleet.number,
            describe_changes(note),
        ),
    )


@release.command(name='apply')
@_FILE_ARGUMENT
@OBJECT_API_OPTION
@click.option(
    '--operator',
    envvar='USER',
    default='',
    help='Name of the operator, stored with the note.',
)
@with_json_option
def apply_file(file: Path, url: str, operator: str, *, as_json: bool) -> None:
    """Apply the release note FILE, whole or not at all.

    A note that is in force already is left as it is, so that a command with
    an unclear result may be run again.
    """
    output = CommandOutput(as_json=as_json)
    note, text = _read_note(output, file, operator=operator)
    view = HeadView(url, as_json=as_json)
    fleet = view.build_next_fleet(note, text)
    match commit(view.store, fleet, note=text, against=note.against):
        case Committed(number):
            print_applied(output, note, number)
        case CommitConflict(number, notes):
            view.fail_conflict(note, number, notes)
        case CommitUnavailable(detail, retry_after_s):
            view.fail_unavailable(Unavailable(detail, retry_after_s))
        case CommitTooLarge(size_bytes, limit_bytes):
            output.fail(
                ExitCode.FAILED,
                'the configuration has {0} bytes, {1} more than the limit'
                ' of {2}; no retry will help'.format(
                    size_bytes, size_bytes - limit_bytes, limit_bytes
                ),
            )
        case CommitUnclear(detail):
            output.fail(
                ExitCode.UNCLEAR,
                '{0}; run the same command again'.format(detail),
            )


@release.command()
@OBJECT_API_OPTION
@click.option(
    '--number',
    type=click.IntRange(min=1),
    help='Show the release note that made this number.',
)
@with_json_option
def show(url: str, number: int | None, *, as_json: bool) -> None:
    """Show the configuration in force, or the note that made a number."""
    view = HeadView(url, as_json=as_json)
    if number is None:
        fleet = view.load_fleet()
        view.output.print_result(convert_fleet(fleet), describe_fleet(fleet))
        return
    applied_notes = [
        applied for applied in view.head.history if applied.number == number
    ]
    if not applied_notes:
        message = 'number {0} is not in the history'.format(number)
        view.output.fail(ExitCode.FAILED, message)
    match load_note(view.store, applied_notes[0]):
        case Ok(found) if found is not None:
            view.output.print_result(
                {'number': number, 'note': found}, found.text
            )
        case Ok(_):
            view.output.fail(
                ExitCode.FAILED, 'the text of the note is no longer stored'
            )
        case Err(problem):
            view.fail_unavailable(problem)


@release.command()
@OBJECT_API_OPTION
@with_json_option
def history(url: str, *, as_json: bool) -> None:
    """List the applied release notes, the newest last."""
    view = HeadView(url, as_json=as_json)
    rows = [(applied.number, applied.note) for applied in view.head.history]
    documents = [{'number': number, 'note': note} for number, note in rows]
    view.output.print_result(
        {'history': documents},
        make_table(['number', 'note'], rows),
    )


def _read_note(
    output: CommandOutput,
    file: Path,
    *,
    operator: str,
) -> tuple[Note, NoteText]:
    raw = read_file(file)
    if isinstance(raw, Err):
        output.fail_with_faults([raw.err_value])
    parsed = parse_note(raw.ok_value, file=str(file))
    if isinstance(parsed, Err):
        output.fail_with_faults(parsed.err_value)
    note = parsed.ok_value
    text = NoteText(note.note, raw.ok_value.decode(), operator)
    if len(msgspec.json.encode(text)) > VALUE_LIMIT_BYTES:
        problem = 'the note is larger than {0} bytes'.format(VALUE_LIMIT_BYTES)
        output.fail_with_faults([note.document.build_fault((), problem)])
    return note, text
