"""Checks across the rows of a fleet: missing targets, duplicate values."""

from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias

from figspread.config.rows import SECTIONS
from figspread.config.toml import KeyPath

# Section and id of a row.
RowKey: TypeAlias = tuple[str, str]
# Records of a fleet by section and id.
Tables: TypeAlias = Mapping[str, Mapping[str, Any]]
# Where in a note the rows are.
RowPaths: TypeAlias = Mapping[RowKey, KeyPath]
# Values of the rows that failed validation.
InvalidRows: TypeAlias = Mapping[RowKey, Mapping[str, Any]]
Problem: TypeAlias = tuple[KeyPath, str]


def find_dangling_references(
    tables: Tables,
    paths: RowPaths,
    *,
    withdrawn: RowPaths,
    invalid_rows: InvalidRows,
) -> Iterator[Problem]:
    """Yield a problem for each reference to a record that does not exist.

    `paths` holds where the note adds or changes a row and `withdrawn` where it
    withdraws one; the problem of a withdrawn target is reported there.
    References of `invalid_rows` are checked as well, but a reference to an
    invalid row is no problem: the row has its own fault.
    """
    existing = {
        (name, row_id) for name, table in tables.items() for row_id in table
    }
    references = (
        *_list_references(tables),
        *_list_invalid_row_references(invalid_rows),
    )
    for row_key, field, target in references:
        if target in existing or target in invalid_rows:
            continue
        path = paths.get(row_key)
        if path is None:
            problem = '{0!r} is still used by {1} {2!r}'.format(
                target[1],
                *row_key,
            )
            yield withdrawn.get(target, ()), problem
        else:
            problem = 'there is no {0!r} in {1}'.format(target[1], target[0])
            yield (*path, field), problem


def find_duplicate_values(tables: Tables, paths: RowPaths) -> Iterator[Problem]:
    """Yield a problem for each value that only one record may have.

    `paths` holds where the note adds or changes a row. The problem is reported
    at the row in the note and names the other record.
    """
    owners: dict[RowKey, RowKey] = {}
    for row_key, field, unique_value in _list_unique_values(tables):
        owner = owners.setdefault((field, unique_value), row_key)
        if owner == row_key:
            continue
        yield (
            (*_select_path(row_key, owner, paths), field),
            '{0!r} is already used by {1} {2!r}'.format(
                unique_value,
                *(owner if row_key in paths else row_key),
            ),
        )


def _select_path(row_key: RowKey, owner: RowKey, paths: RowPaths) -> KeyPath:
    """Return the path of the row that the note adds or changes."""
    return paths.get(row_key) or paths.get(owner, ())


def _list_references(tables: Tables) -> Iterator[tuple[RowKey, str, RowKey]]:
    for section in SECTIONS:
        for name, record in tables[section.name].items():
            for field, target in section.references.items():
                target_id = getattr(record, field)
                yield (section.name, name), field, (target, target_id)


def _list_invalid_row_references(
    invalid_rows: InvalidRows,
) -> Iterator[tuple[RowKey, str, RowKey]]:
    fields = {section.name: section.references for section in SECTIONS}
    for row_key, values in invalid_rows.items():
        for field, target in fields[row_key[0]].items():
            target_id = values.get(field)
            if isinstance(target_id, str):
                yield row_key, field, (target, target_id)


def _list_unique_values(tables: Tables) -> Iterator[tuple[RowKey, str, str]]:
    """Yield the row, field and value of all values that must be unique.

    Engines and service upstreams together must not share an id or the address
    of an agent, and workspaces must not share an API key.
    """
    for section in ('engines', 'service_upstreams'):
        for name, record in tables[section].items():
            yield (section, name), 'id', name
            yield (section, name), 'agent', record.agent
    for name, workspace in tables['workspaces'].items():
        for key_hash in workspace.key_hashes:
            yield ('workspaces', name), 'key_hashes', key_hash
