"""Commands about release notes: `release check`, `apply`, `show`, `history`."""

from pathlib import Path
from typing import Final

import click
import msgspec
from result import Err, Ok

from figspread.cli.head_view import HeadView, show_applied
from figspread.cli.listing import (
    describe_changes,
    describe_fleet,
    list_sections,
)
from figspread.cli.screen import ExitCode, Screen, make_table, with_screen
from figspread.cli.urls import OBJECT_API_OPTION
from figspread.config.note import Note, parse_note
from figspread.config.toml import read_file
from figspread.duties.commit import (
    CommitConflict,
    Committed,
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
@with_screen
def check(file: Path, url: str, *, as_json: bool) -> None:
    """Check the release note FILE against what is in force.

    Lists every fault at once and ends with 2 if there is any.
    """
    screen = Screen(as_json=as_json)
    note, text = _read_note(screen, file, operator='')
    view = HeadView(url, as_json=as_json)
    fleet = view.prepare(note, text)
    screen.show(
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
    help='Who applies it, kept with the note.',
)
@with_screen
def apply_file(file: Path, url: str, operator: str, *, as_json: bool) -> None:
    """Put the release note FILE in force, whole or not at all.

    A note that is in force already is left as it is, so that a command whose
    end was unclear may be given again.
    """
    screen = Screen(as_json=as_json)
    note, text = _read_note(screen, file, operator=operator)
    view = HeadView(url, as_json=as_json)
    fleet = view.prepare(note, text)
    match commit(view.store, fleet, note=text, against=note.against):
        case Committed(number):
            show_applied(screen, note, number)
        case CommitConflict(number, notes):
            view.fail_clash(note, number, notes)
        case CommitUnavailable(detail, retry_after_s):
            view.fail_unavailable(Unavailable(detail, retry_after_s))
        case CommitUnclear(detail):
            screen.fail(
                ExitCode.UNCLEAR,
                '{0}; give the same command again'.format(detail),
            )


@release.command()
@OBJECT_API_OPTION
@click.option(
    '--number',
    type=click.IntRange(min=1),
    help='Show the release note that made this number.',
)
@with_screen
def show(url: str, number: int | None, *, as_json: bool) -> None:
    """Show the configuration in force, or the note that made a number."""
    view = HeadView(url, as_json=as_json)
    if number is None:
        fleet = view.load_fleet()
        view.screen.show(list_sections(fleet), describe_fleet(fleet))
        return
    marks = [mark for mark in view.head.history if mark.number == number]
    if not marks:
        message = 'number {0} is not in the history'.format(number)
        view.screen.fail(ExitCode.FAILED, message)
    match load_note(view.store, marks[0]):
        case Ok(found) if found is not None:
            view.screen.show({'number': number, 'note': found}, found.text)
        case Ok(_):
            view.screen.fail(ExitCode.FAILED, 'the note is gone')
        case Err(problem):
            view.fail_unavailable(problem)


@release.command()
@OBJECT_API_OPTION
@with_screen
def history(url: str, *, as_json: bool) -> None:
    """List the release notes that were applied, the newest last."""
    view = HeadView(url, as_json=as_json)
    rows = [(mark.number, mark.note) for mark in view.head.history]
    documents = [{'number': number, 'note': note} for number, note in rows]
    view.screen.show(
        {'history': documents},
        make_table(['number', 'note'], rows),
    )


def _read_note(
    screen: Screen,
    file: Path,
    *,
    operator: str,
) -> tuple[Note, NoteText]:
    raw = read_file(file)
    if isinstance(raw, Err):
        screen.fail_for([raw.err_value])
    parsed = parse_note(raw.ok_value, file=str(file))
    if isinstance(parsed, Err):
        screen.fail_for(parsed.err_value)
    note = parsed.ok_value
    text = NoteText(note.note, raw.ok_value.decode(), operator)
    if len(msgspec.json.encode(text)) > VALUE_LIMIT_BYTES:
        problem = 'the note is larger than {0} bytes'.format(VALUE_LIMIT_BYTES)
        screen.fail_for([note.document.build_fault((), problem)])
    return note, text
