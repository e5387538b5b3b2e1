"""Finds applied release notes that conflict with a new one."""

from collections.abc import Iterable

import msgspec
from result import Ok

from figspread.config.note import Note, parse_note
from figspread.duties.head import AppliedNote, load_note
from figspread.platform.types import ObjectStore


class LaterNote(msgspec.Struct, frozen=True):
    """A note applied after the number that a new note is written against.

    `shared` lists the records, as `SECTION NAME`, that both notes name. The
    fields are part of the JSON output.
    """

    note: str
    number: int
    shared: tuple[str, ...]


def find_later_notes(
    store: ObjectStore,
    note: Note,
    applied_notes: Iterable[AppliedNote],
) -> tuple[LaterNote, ...]:
    """Return the applied notes whose number is above `note.against`.

    `shared` is empty for a later note whose text can't be read any more.
    """
    own_names = _list_record_names(note)
    return tuple(
        LaterNote(
            applied.note,
            applied.number,
            tuple(sorted(own_names & _load_record_names(store, applied))),
        )
        for applied in applied_notes
        if applied.number > note.against
    )


def describe_later_notes(later_notes: Iterable[LaterNote]) -> str:
    """Return one line of text for each later note."""
    return '\n'.join(
        '  {0} (number {1}): {2}'.format(
            later.note,
            later.number,
            ', '.join(later.shared) or 'names nothing that this note names',
        )
        for later in later_notes
    )


def _load_record_names(
    store: ObjectStore, applied: AppliedNote
) -> frozenset[str]:
    match load_note(store, applied):
        case Ok(text) if text is not None:
            parsed = parse_note(text.text.encode(), file=applied.note)
            return parsed.map(_list_record_names).unwrap_or(frozenset())
        case _:
            return frozenset()


def _list_record_names(note: Note) -> frozenset[str]:
    rows = (*note.added, *note.changed, *note.withdrawn)
    return frozenset('{0} {1}'.format(row.section, row.name) for row in rows)
