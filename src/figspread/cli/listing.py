"""A fleet as text."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import msgspec

from figspread.cli.screen import make_table
from figspread.config.fleet import Fleet
from figspread.config.note import Note
from figspread.config.rows import SECTIONS

HASH_SHOWN_CHARS: Final = 12


def describe_fleet(fleet: Fleet) -> str:
    """Return a table for each section that has something in it."""
    head = 'number {0}, note {1}'.format(fleet.number, fleet.note or '(none)')
    return '\n\n'.join((head, *_list_tables(fleet)))


def describe_changes(note: Note) -> str:
    """Return how many things a note adds, changes and withdraws."""
    lines = []
    for section in SECTIONS:
        counts = [
            sum(row.section == section.name for row in rows)
            for rows in (note.added, note.changed, note.withdrawn)
        ]
        if any(counts):
            lines.append((section.name, *counts))
    return make_table(['', 'added', 'changed', 'withdrawn'], lines)


def _list_tables(fleet: Fleet) -> Iterator[str]:
    for section in SECTIONS:
        rows = [
            section.to_note_values(record)
            for record in getattr(fleet, section.name).values()
        ]
        if rows:
            title = '{0}: {1}'.format(section.name, len(rows))
            yield '\n'.join((title, _make_rows(rows)))


def _make_rows(rows: Sequence[Mapping[str, Any]]) -> str:
    return make_table(
        list(rows[0]),
        [[_show(cell) for cell in row.values()] for row in rows],
    )


def _show(cell: object) -> object:
    if isinstance(cell, list):
        return ', '.join(str(_show(part)) for part in cell)
    if isinstance(cell, dict):
        return ' '.join(str(part) for part in cell.values())
    if isinstance(cell, str) and len(cell) == 64:
        return '{0}...'.format(cell[:HASH_SHOWN_CHARS])
    return cell


def list_sections(fleet: Fleet) -> object:
    """Return a fleet as plain data, with lists in the place of tables."""
    sections = {
        section.name: [
            section.to_note_values(record)
            for record in getattr(fleet, section.name).values()
        ]
        for section in SECTIONS
    }
    plain = {'number': fleet.number, 'note': fleet.note, **sections}
    return msgspec.to_builtins(plain)
