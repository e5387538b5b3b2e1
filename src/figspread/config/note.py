"""Release notes as written, before they are checked against a fleet."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

import msgspec
from pydantic import Field, ValidationError
from result import Err, Ok, Result

from figspread.config.faults import Fault
from figspread.config.rows import SECTIONS
from figspread.config.toml import Document, KeyPath, parse_toml
from figspread.config.validation import explain_errors
from figspread.config.values import StrictTable, ValidNoteId
from figspread.ids import NoteId

# Value of `Note.against` if the note does not give a configuration number.
NO_CONFIG_NUMBER: Final = -1
_SECTION_NAMES: Final = tuple(section.name for section in SECTIONS)
_PART_NAMES: Final = ('note', 'added', 'changed', 'withdrawn')


class _Header(StrictTable):
    id: ValidNoteId
    against: int = Field(ge=0, le=2**53)


class Row(msgspec.Struct, frozen=True):
    """A record that a note adds, changes or withdraws.

    `path` is where the note names it. `values` are as written and not yet
    validated.
    """

    section: str
    name: str
    path: KeyPath
    values: Mapping[str, Any] = {}


class Note(msgspec.Struct, frozen=True):
    """A release note.

    `against` is the number of the configuration that it is based on, or
    `NO_CONFIG_NUMBER` if the note gives none. `faults` are those that can be
    found without a fleet. A note with faults is never applied, but it is still
    checked against the fleet so that all faults are reported together.
    """

    document: Document
    note: NoteId = NoteId('')
    against: int = NO_CONFIG_NUMBER
    added: tuple[Row, ...] = ()
    changed: tuple[Row, ...] = ()
    withdrawn: tuple[Row, ...] = ()
    faults: tuple[Fault, ...] = ()


def parse_note(raw: bytes, *, file: str) -> Result[Note, list[Fault]]:
    """Return the note in `raw`, or a fault if it cannot be read as TOML.

    All other faults are kept in `Note.faults`, so that `apply_note` reports
    them together with its own.
    """
    match parse_toml(raw, file):
        case Ok(document):
            return Ok(_NoteParser(document).parse())
        case Err(fault):
            return Err([fault])


class _NoteParser:
    """Builds a note from a TOML document and collects the faults found."""

    def __init__(self, document: Document) -> None:
        self._document = document
        self._faults: list[Fault] = []

    def parse(self) -> Note:
        header = self._document.content.get('note', {})
        self._validate(header, _Header, ('note',))
        self._check_keys((), self._document.content, _PART_NAMES)
        note, against = _read_header(header)
        return Note(
            self._document,
            note=note,
            against=against,
            added=tuple(self._read_rows('added')),
            changed=tuple(self._read_rows('changed')),
            withdrawn=tuple(self._read_withdrawn()),
            faults=tuple(self._faults),
        )

    def _validate_row(self, path: KeyPath, values: object) -> None:
        """Record all faults of an added row that has no usable `id`.

        Such a row never reaches `apply_note`, which validates the others.
        """
        model = next(
            section.row for section in SECTIONS if section.name == path[1]
        )
        self._validate(values, model, path)

    def _validate(
        self,
        values: object,
        model: type[StrictTable],
        path: KeyPath,
    ) -> None:
        try:
            model.model_validate(values)
        except ValidationError as exc:
            self._faults.extend(
                explain_errors(exc, self._document, model, table_path=path),
            )

    def _read_rows(self, part: str) -> Iterator[Row]:
        for path, values in self._read_lists(part):
            if not isinstance(values, dict):
                self._add_fault(path, 'is not a table')
            elif isinstance(values.get('id'), str):
                yield Row(str(path[1]), values['id'], path, values)
            elif part == 'added':
                self._validate_row(path, values)
            else:
                self._add_fault((*path, 'id'), 'is missing or not a string')

    def _read_withdrawn(self) -> Iterator[Row]:
        for path, name in self._read_lists('withdrawn'):
            if isinstance(name, str):
                yield Row(str(path[1]), name, path)
            else:
                self._add_fault(path, 'is not a string with an id')

    def _read_lists(self, part: str) -> Iterator[tuple[KeyPath, Any]]:
        sections = self._document.content.get(part, {})
        if not isinstance(sections, dict):
            self._add_fault((part,), 'is not a table')
            return
        self._check_keys((part,), sections, _SECTION_NAMES)
        for section in _SECTION_NAMES:
            yield from self._read_list(
                (part, section),
                sections.get(section, []),
            )

    def _read_list(
        self,
        path: KeyPath,
        members: object,
    ) -> Iterator[tuple[KeyPath, Any]]:
        if not isinstance(members, list):
            self._add_fault(path, 'is not an array')
            return
        for index, member in enumerate(members):
            yield (*path, index), member

    def _check_keys(
        self,
        path: KeyPath,
        table: Mapping[str, Any],
        allowed_keys: tuple[str, ...],
    ) -> None:
        for name in table:
            if name not in allowed_keys:
                allowed = ', '.join(allowed_keys)
                self._add_fault((*path, name), 'unknown key', allowed)

    def _add_fault(
        self,
        path: KeyPath,
        problem: str,
        allowed: str = '',
    ) -> None:
        self._faults.append(self._document.build_fault(path, problem, allowed))


def _read_header(header: object) -> tuple[NoteId, int]:
    """Return the id and the number as written, without validating them."""
    match header:
        case {'id': str(name), 'against': int(against)}:
            return NoteId(name), against
        case {'against': int(against)}:
            return NoteId(''), against
        case _:
            return NoteId(''), NO_CONFIG_NUMBER
