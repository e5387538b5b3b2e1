"""Parses TOML and finds the line number of each key.

`tomllib` does not report the lines of keys, so a second scan finds them.
"""

import re
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.config.faults import Fault

# Size of the largest TOML file that is read.
FILE_LIMIT_BYTES: Final = 1_048_576

# Keys and array indices from the root of a document, indices from 0.
KeyPath: TypeAlias = tuple[str | int, ...]

# Strings, comments, brackets and line ends: what decides where a statement
# ends.
_TOKEN: Final = re.compile(
    r'"""(?:\\.|[^\\])*?"{3,5}'
    + r"|'''.*?'{3,5}"
    + r'|"(?:\\.|[^"\\\n])*"'
    + r"|'[^'\n]*'"
    + r'|\#[^\n]*'
    + r'|[\[\]{}\n]',
    re.DOTALL,
)
_TABLE_HEADER: Final = re.compile(r'\s*(\[\[?)(.*?)\]\]?\s*(?:#.*)?$')
_KEY_PART: Final = re.compile(r'"(?:\\.|[^"\\])*"|\'[^\']*\'|[A-Za-z0-9_-]+')
_KEY_PATH: Final = re.compile(
    r'\s*(?:{0})(?:\s*\.\s*(?:{0}))*\s*(?==)'.format(_KEY_PART.pattern),
)
_ERROR_POSITION: Final = re.compile(
    r' \(at (?:line (\d+), column \d+|end of document)\)$',
)


class Document(msgspec.Struct, frozen=True):
    """A parsed file with the line of each key, counted from 1.

    `file` is the name for error messages.
    """

    file: str
    content: dict[str, Any]
    lines: Mapping[KeyPath, int]

    def build_fault(
        self,
        path: KeyPath,
        problem: str,
        allowed: str = '',
    ) -> Fault:
        """Return a fault at `path`.

        Its line is that of the longest prefix of `path` with a known line, or
        0 if there is none.
        """
        return Fault(
            self.file,
            self._find_line(path),
            format_path(path),
            problem,
            allowed,
        )

    def _find_line(self, path: KeyPath) -> int:
        prefixes = (path[:size] for size in range(len(path), 0, -1))
        found = (self.lines.get(prefix, 0) for prefix in prefixes)
        return next((line for line in found if line), 0)


def format_path(path: KeyPath) -> str:
    """Return `path` as text, such as `added.engines[2].pool`."""
    parts = (
        '[{0}]'.format(part) if isinstance(part, int) else '.{0}'.format(part)
        for part in path
    )
    return ''.join(parts).lstrip('.')


def read_file(path: Path) -> Result[bytes, Fault]:
    """Return the bytes of a file, or a fault if it cannot be read.

    At most one byte more than `FILE_LIMIT_BYTES` is read, by which `parse_toml`
    recognizes a file that is too large.
    """
    try:
        with path.open('rb') as stream:
            return Ok(stream.read(FILE_LIMIT_BYTES + 1))
    except OSError as exc:
        return Err(Fault(str(path), 0, '', str(exc.strerror)))


def parse_toml(raw: bytes, file: str) -> Result[Document, Fault]:
    """Return the document in `raw`, or a fault if it cannot be parsed.

    Invalid input never raises.
    """
    if len(raw) > FILE_LIMIT_BYTES:
        return Err(Fault(file, 0, '', 'the file is too large'))
    try:
        text = raw.decode().replace('\r\n', '\n')
        content = tomllib.loads(text)
    except UnicodeDecodeError:
        return Err(Fault(file, 0, '', 'the file is not UTF-8'))
    except RecursionError:
        return Err(Fault(file, 0, '', 'the values are nested too deeply'))
    except ValueError as exc:
        return Err(_to_fault(str(exc), text, file))
    return Ok(Document(file, content, find_lines(text)))


def find_lines(text: str) -> dict[KeyPath, int]:
    """Return the line of each table and key in `text`.

    `text` must be valid TOML. Keys inside inline tables and arrays get no line
    of their own.
    """
    lines: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for line, statement in _split_statements(text):
        header = _TABLE_HEADER.match(statement)
        key = _KEY_PATH.match(statement)
        if key:
            lines.setdefault(table + _split_key(key.group()), line)
        elif header:
            table = _resolve_table_path(
                _split_key(header.group(2)),
                counts,
                is_array=header.group(1) == '[[',
            )
            lines.setdefault(table, line)
    return lines


def _split_statements(text: str) -> Iterator[tuple[int, str]]:
    """Yield each statement with the line that it starts on.

    A statement ends at the first line end outside brackets and strings.
    """
    depth = 0
    start = 0
    line = 1
    for token in _TOKEN.finditer(text):
        depth += _nesting_change(token.group())
        if token.group() == '\n' and depth == 0:
            statement = text[start : token.end()]
            yield line, statement.rstrip('\n')
            line += statement.count('\n')
            start = token.end()
    yield line, text[start:]


def _nesting_change(token: str) -> int:
    match token:
        case '[' | '{':
            return 1
        case ']' | '}':
            return -1
        case _:
            return 0


def _split_key(key: str) -> tuple[str, ...]:
    return tuple(_unquote(name) for name in _KEY_PART.findall(key))


def _unquote(name: str) -> str:
    if name[0] == '"':
        return str(tomllib.loads('key = {0}'.format(name))['key'])
    return name.strip("'")


def _resolve_table_path(
    names: tuple[str, ...],
    counts: dict[KeyPath, int],
    *,
    is_array: bool,
) -> KeyPath:
    """Return the path of the table whose header has `names`.

    A name of an array of tables is followed by the index of its last table.
    `counts` maps the path of each array to that index; a header with
    `is_array` adds a table and increments it.
    """
    path: KeyPath = ()
    for name in names[:-1]:
        path += (name,)
        last = counts.get(path)
        path += () if last is None else (last,)
    path += names[-1:]
    if is_array:
        counts[path] = counts.get(path, -1) + 1
        path += (counts[path],)
    return path


def _to_fault(message: str, text: str, file: str) -> Fault:
    position = _ERROR_POSITION.search(message)
    line = 0
    if position:
        line = int(position.group(1) or text.count('\n') + 1)
    problem = 'not TOML: {0}'.format(_ERROR_POSITION.sub('', message))
    return Fault(file, line, '', problem)
