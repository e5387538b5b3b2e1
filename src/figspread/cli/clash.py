"""What a release note has in common with those that came before it."""

from collections.abc import Iterable

import msgspec
from result import Ok

from figspread.config.note import Note, parse_note
from figspread.duties.head import AppliedNote, load_note
from figspread.platform.types import ObjectStore


class Later(msgspec.Struct, frozen=True):
    """A note that was applied since; `shared` are things that both name."""

    note: str
    number: int
    shared: tuple[str, ...]


def find_later(
    store: ObjectStore,
    note: Note,
    marks: Iterable[AppliedNote],
) -> tuple[Later, ...]:
    """Return the notes in `marks` that came after the one `note` knows of.

    Where a later note can't be read any more, `shared` is empty.
    """
    own = _list_names(note)
    return tuple(
        Later(
            mark.note,
            mark.number,
            tuple(sorted(own & _load_names(store, mark))),
        )
        for mark in marks
        if mark.number > note.against
    )


def describe_later(later: Iterable[Later]) -> str:
    """Return one line for each later note."""
    return '\n'.join(
        '  {0} (number {1}): {2}'.format(
            one.note,
            one.number,
            ', '.join(one.shared) or 'names nothing that this note names',
        )
        for one in later
    )


def _load_names(store: ObjectStore, mark: AppliedNote) -> frozenset[str]:
    match load_note(store, mark):
        case Ok(text) if text is not None:
            parsed = parse_note(text.text.encode(), file=mark.note)
            return parsed.map(_list_names).unwrap_or(frozenset())
        case _:
            return frozenset()


def _list_names(note: Note) -> frozenset[str]:
    rows = (*note.added, *note.changed, *note.withdrawn)
    return frozenset('{0} {1}'.format(row.section, row.name) for row in rows)
