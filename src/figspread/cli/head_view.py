"""The configuration head as release commands read and check it."""

import sys
from typing import Final, NoReturn

from result import Err, Ok, Result

from figspread.cli.conflicts import describe_later_notes, find_later_notes
from figspread.cli.output import CommandOutput, ExitCode
from figspread.config.document import load_fleet
from figspread.config.fleet import EMPTY_FLEET, Fleet
from figspread.config.note import Note
from figspread.config.revision import apply_note
from figspread.duties.distribution import load_document
from figspread.duties.head import (
    AppliedNote,
    Head,
    NoteText,
    load_note,
    read_head,
)
from figspread.http.client import ClientPool
from figspread.platform.objects import HttpObjectStore
from figspread.platform.types import ObjectStore, Unavailable

STORE_TIMEOUT_S: Final = 10


class HeadView:
    """Access of one release command to the store, the head and the output.

    The head is read once, when the object is created.
    """

    def __init__(self, url: str, *, as_json: bool) -> None:
        """Read the head from the store at `url`; exit if that fails."""
        self.output = CommandOutput(as_json=as_json)
        self.store: ObjectStore = HttpObjectStore(
            url,
            timeout_s=STORE_TIMEOUT_S,
            pool=ClientPool(),
        )
        self.head = self._read_head()

    def load_fleet(self) -> Fleet:
        """Return the fleet in force; an empty one if no note was applied."""
        match load_document(self.store, self.head):
            case Ok(None):
                return EMPTY_FLEET
            case Ok(bytes() as document):
                return self._unwrap_fleet(load_fleet(document))
            case Err(problem):
                self.fail_unavailable(problem)
        raise AssertionError('the store returned a document that is not bytes')

    def build_next_fleet(self, note: Note, text: NoteText) -> Fleet:
        """Return the fleet in force with `note` applied to it.

        Exits with `INVALID_INPUT` if the note has faults or does not fit the
        fleet, and with `CONFLICT` if it is written against an older number.
        """
        if note.faults:
            self.output.fail_with_faults(sorted(note.faults))
        self._exit_if_id_used(note, text)
        if 0 <= note.against < self.head.number:
            self.fail_conflict(note, self.head.number, self.head.history)
        match apply_note(self.load_fleet(), note):
            case Ok(fleet):
                return fleet
            case Err(faults):
                self.output.fail_with_faults(faults)

    def fail_conflict(
        self,
        note: Note,
        number: int,
        applied_notes: tuple[AppliedNote, ...],
    ) -> NoReturn:
        """Print the notes applied since `note.against`; exit with `CONFLICT`."""
        later_notes = find_later_notes(self.store, note, applied_notes)
        message = (
            'number {0} is in force and the note is against {1}; nothing was '
            'applied. Applied since:\n{2}'
        )
        self.output.fail(
            ExitCode.CONFLICT,
            message.format(
                number, note.against, describe_later_notes(later_notes)
            ),
            {'number': number, 'later': later_notes},
        )

    def fail_unavailable(self, problem: Unavailable) -> NoReturn:
        """Print why the store wasn't read or written; exit with `FAILED`.

        A commit also fails this way if the configuration is over its size
        limit. The head is unchanged then, but a document or a text that was
        written before the error stays stored.
        """
        self.output.fail(
            ExitCode.FAILED,
            'Object API error: {0}; nothing was done'.format(problem.detail),
        )

    def _read_head(self) -> Head:
        match read_head(self.store):
            case Ok(stored):
                return stored.head
            case Err(problem):
                self.fail_unavailable(problem)

    def _exit_if_id_used(self, note: Note, text: NoteText) -> None:
        """Exit if a note with this id was applied before.

        That is a success if the texts are equal, so that a command may be
        repeated, or if the earlier text is no longer stored; it is invalid
        input if the texts differ.
        """
        applied_notes = [
            applied
            for applied in self.head.history
            if applied.note == note.note
        ]
        if not applied_notes:
            return
        match load_note(self.store, applied_notes[0]):
            case Ok(stored):
                is_other_note = stored is not None and stored.text != text.text
            case Err(problem):
                self.fail_unavailable(problem)
        if is_other_note:
            fault = note.document.build_fault(
                ('note', 'id'),
                'is that of another note',
                'an unused id',
            )
            self.output.fail_with_faults([fault])
        print_applied(self.output, note, applied_notes[0].number)
        sys.exit(ExitCode.DONE)

    def _unwrap_fleet(self, loaded: Result[Fleet, str]) -> Fleet:
        match loaded:
            case Ok(fleet):
                return fleet
            case Err(problem):
                self.output.fail(ExitCode.FAILED, problem)


def print_applied(output: CommandOutput, note: Note, number: int) -> None:
    """Print that `note` is in force as configuration `number`."""
    output.print_result(
        {'note': note.note, 'number': number},
        '{0} is in force as number {1}'.format(note.note, number),
    )
