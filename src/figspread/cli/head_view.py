"""The store with the head as it was read once, and what is printed of it."""

import sys
from typing import Final, NoReturn

import urllib3
from result import Err, Ok, Result

from figspread.cli.clash import describe_later, find_later
from figspread.cli.screen import ExitCode, Screen
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
from figspread.platform.objects import HttpObjectStore
from figspread.platform.types import ObjectStore, Unavailable

STORE_TIMEOUT_S: Final = 10


class HeadView:
    """Where a command about releases reads, and where it prints."""

    def __init__(self, url: str, *, as_json: bool) -> None:
        """Read the head of the store at `url`, or say why not, and end."""
        self.screen = Screen(as_json=as_json)
        self.store: ObjectStore = HttpObjectStore(
            url,
            timeout_s=STORE_TIMEOUT_S,
            pool=urllib3.PoolManager(),
        )
        self.head = self._read_head()

    def load_fleet(self) -> Fleet:
        """Return the fleet that the head names."""
        match load_document(self.store, self.head):
            case Ok(None):
                return EMPTY_FLEET
            case Ok(bytes() as document):
                return self._take(load_fleet(document))
            case Err(problem):
                self.fail_unavailable(problem)
        raise AssertionError('a store gives bytes')

    def prepare(self, note: Note, text: NoteText) -> Fleet:
        """Return the fleet that `note` makes of the one in force."""
        if note.faults:
            self.screen.fail_for(sorted(note.faults))
        self._stop_if_known(note, text)
        if 0 <= note.against < self.head.number:
            self.fail_clash(note, self.head.number, self.head.history)
        match apply_note(self.load_fleet(), note):
            case Ok(fleet):
                return fleet
            case Err(faults):
                self.screen.fail_for(faults)

    def fail_clash(
        self,
        note: Note,
        number: int,
        marks: tuple[AppliedNote, ...],
    ) -> NoReturn:
        """List the notes that came first, and end."""
        later = find_later(self.store, note, marks)
        message = (
            'number {0} is in force and the note is against {1}; nothing was '
            'applied. Applied since:\n{2}'
        )
        self.screen.fail(
            ExitCode.CLASH,
            message.format(number, note.against, describe_later(later)),
            {'number': number, 'later': later},
        )

    def fail_unavailable(self, problem: Unavailable) -> NoReturn:
        """Say that the store can't be used now, and end."""
        self.screen.fail(
            ExitCode.FAILED,
            'the Object API: {0}; nothing was done'.format(problem.detail),
        )

    def _read_head(self) -> Head:
        match read_head(self.store):
            case Ok(found):
                return found.head
            case Err(problem):
                self.fail_unavailable(problem)

    def _stop_if_known(self, note: Note, text: NoteText) -> None:
        """End if this note is in force, or if its id is another note's."""
        marks = [mark for mark in self.head.history if mark.note == note.note]
        if not marks:
            return
        match load_note(self.store, marks[0]):
            case Ok(found):
                is_other = found is not None and found.text != text.text
            case Err(problem):
                self.fail_unavailable(problem)
        if is_other:
            fault = note.document.build_fault(
                ('note', 'id'),
                'is that of another note',
                'an unused id',
            )
            self.screen.fail_for([fault])
        show_applied(self.screen, note, marks[0].number)
        sys.exit(ExitCode.DONE)

    def _take(self, loaded: Result[Fleet, str]) -> Fleet:
        match loaded:
            case Ok(fleet):
                return fleet
            case Err(problem):
                self.screen.fail(ExitCode.FAILED, problem)


def show_applied(screen: Screen, note: Note, number: int) -> None:
    """Print that `note` is in force."""
    screen.show(
        {'note': note.note, 'number': number},
        '{0} is in force as number {1}'.format(note.note, number),
    )
