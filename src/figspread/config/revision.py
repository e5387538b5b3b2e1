"""Applies release notes to the current configuration of the fleet."""

from typing import Any, Final

import msgspec
from pydantic import ValidationError
from result import Err, Ok, Result

from figspread.config.faults import Fault
from figspread.config.fleet import Fleet
from figspread.config.note import NO_CONFIG_NUMBER, Note, Row
from figspread.config.references import (
    RowKey,
    find_dangling_references,
    find_duplicate_values,
)
from figspread.config.rows import SECTIONS, Section
from figspread.config.toml import KeyPath
from figspread.config.validation import explain_errors

_SECTIONS_BY_NAME: Final = {section.name: section for section in SECTIONS}


def apply_note(fleet: Fleet, note: Note) -> Result[Fleet, list[Fault]]:
    """Return the fleet after `note`, or all faults of the note.

    The new fleet has the next number and the id of the note. Neither argument
    is modified.
    """
    draft = _FleetDraft(fleet, note)
    draft.check_against_number(fleet.number)
    for withdrawn in note.withdrawn:
        draft.withdraw(withdrawn)
    for added in note.added:
        draft.add(added)
    for changed in note.changed:
        draft.change(changed)
    faults = draft.find_faults()
    if faults:
        return Err(faults)
    return Ok(
        msgspec.structs.replace(
            fleet,
            number=fleet.number + 1,
            note=note.note,
            **draft.tables,
        ),
    )


class _FleetDraft:
    """The tables of a fleet while a note is applied to them.

    Collects faults instead of stopping at the first. `_named_paths` has every
    row that the note names, `_stored_paths` the added and changed rows that
    are valid, `_invalid_rows` the values of those that are not.
    """

    def __init__(self, fleet: Fleet, note: Note) -> None:
        self.tables = {
            name: dict(getattr(fleet, name).items())
            for name in _SECTIONS_BY_NAME
        }
        self._note = note
        self._faults = list(note.faults)
        self._named_paths: dict[RowKey, KeyPath] = {}
        self._stored_paths: dict[RowKey, KeyPath] = {}
        self._invalid_rows: dict[RowKey, dict[str, Any]] = {}

    def check_against_number(self, number: int) -> None:
        if self._note.against not in {number, NO_CONFIG_NUMBER}:
            self._add_fault(
                ('note', 'against'),
                'is {0}'.format(self._note.against),
                '{0}, the number in force'.format(number),
            )

    def withdraw(self, row: Row) -> None:
        if not self._register_row(row):
            return
        if self.tables[row.section].pop(row.name, None) is None:
            self._add_fault(row.path, _describe_missing(row))

    def add(self, row: Row) -> None:
        if not self._register_row(row):
            return
        if row.name in self.tables[row.section]:
            problem = '{0!r} already exists'.format(row.name)
            self._add_fault((*row.path, 'id'), problem, 'an unused id')
            return
        self._store_row(row, dict(row.values))

    def change(self, row: Row) -> None:
        if not self._register_row(row):
            return
        record = self.tables[row.section].get(row.name)
        if record is None:
            self._add_fault((*row.path, 'id'), _describe_missing(row))
            return
        section = _SECTIONS_BY_NAME[row.section]
        self._store_row(row, {**section.to_note_values(record), **row.values})

    def find_faults(self) -> list[Fault]:
        """Return all faults sorted by line, with those across rows.

        Call it once, after all rows have been applied.
        """
        problems = (
            *find_dangling_references(
                self.tables,
                {**self._stored_paths, **self._list_invalid_paths()},
                withdrawn=self._named_paths,
                invalid_rows=self._invalid_rows,
            ),
            *find_duplicate_values(self.tables, self._stored_paths),
        )
        for path, problem in problems:
            self._add_fault(path, problem)
        return sorted(self._faults)

    def _list_invalid_paths(self) -> dict[RowKey, KeyPath]:
        return {
            row_key: self._named_paths[row_key]
            for row_key in self._invalid_rows
        }

    def _register_row(self, row: Row) -> bool:
        """Return whether the note names this row for the first time."""
        row_key = (row.section, row.name)
        if row_key in self._named_paths:
            problem = '{0!r} is named more than once in this note'.format(
                row.name
            )
            self._add_fault(row.path, problem)
            return False
        self._named_paths[row_key] = row.path
        return True

    def _store_row(self, row: Row, values: dict[str, Any]) -> None:
        section: Section = _SECTIONS_BY_NAME[row.section]
        try:
            valid_row = section.row.model_validate(values)
        except ValidationError as exc:
            self._invalid_rows[row.section, row.name] = values
            self._faults.extend(
                explain_errors(
                    exc,
                    self._note.document,
                    section.row,
                    table_path=row.path,
                ),
            )
            return
        self.tables[row.section][row.name] = section.to_record(valid_row)
        self._stored_paths[row.section, row.name] = row.path

    def _add_fault(
        self,
        path: KeyPath,
        problem: str,
        allowed: str = '',
    ) -> None:
        fault = self._note.document.build_fault(path, problem, allowed)
        self._faults.append(fault)


def _describe_missing(row: Row) -> str:
    noun = row.section.removesuffix('s').replace('_', ' ')
    return 'there is no {0} {1!r}'.format(noun, row.name)
