"""Formats fleets and release notes for output."""

from collections.abc import Iterator, Mapping, Sequence
from typing import Any, Final

import msgspec

from figspread.cli.output import make_table
from figspread.config.fleet import Fleet
from figspread.config.note import Note
from figspread.config.rows import SECTIONS

HASH_SHOWN_CHARS: Final = 12


def describe_fleet(fleet: Fleet) -> str:
    """Return the number and note in force and a table per used section."""
    head = 'number {0}, note {1}'.format(fleet.number, fleet.note or '(none)')
    return '\n\n'.join((head, *_make_section_tables(fleet)))


def describe_changes(note: Note) -> str:
    """Return a table of the records a note adds, changes and withdraws."""
    lines = []
    for section in SECTIONS:
        counts = [
            sum(row.section == section.name for row in rows)
            for rows in (note.added, note.changed, note.withdrawn)
        ]
        if any(counts):
            lines.append((section.name, *counts))
    return make_table(['', 'added', 'changed', 'withdrawn'], lines)


def _make_section_tables(fleet: Fleet) -> Iterator[str]:
    for section in SECTIONS:
        rows = [
            section.to_note_values(record)
            for record in getattr(fleet, section.name).values()
        ]
        if rows:
            title = '{0}: {1}'.format(section.name, len(rows))
            yield '\n'.join((title, _make_section_table(rows)))


def _make_section_table(rows: Sequence[Mapping[str, Any]]) -> str:
    return make_table(
        list(rows[0]),
        [[_format_cell(cell) for cell in row.values()] for row in rows],
    )


def _format_cell(cell: object) -> object:
    if isinstance(cell, list):
        return ', '.join(str(_format_cell(part)) for part in cell)
    if isinstance(cell, dict):
        return ' '.join(str(part) for part in cell.values())
    # Key hashes are SHA-256 in hex; a prefix tells them apart.
    if isinstance(cell, str) and len(cell) == 64:
        return '{0}...'.format(cell[:HASH_SHOWN_CHARS])
    return cell


def convert_fleet(fleet: Fleet) -> object:
    """Return a fleet as plain data, with a list of records per section."""
    sections = {
        section.name: [
            section.to_note_values(record)
            for record in getattr(fleet, section.name).values()
        ]
        for section in SECTIONS
    }
    document = {'number': fleet.number, 'note': fleet.note, **sections}
    return msgspec.to_builtins(document)
