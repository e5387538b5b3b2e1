"""Converts validation errors of pydantic to faults of a document."""

from collections.abc import Iterator
from typing import Any, Final, get_args

from pydantic import BaseModel, ValidationError

from figspread.config.faults import Fault
from figspread.config.toml import Document, KeyPath

# Maximum number of characters of a rejected value that a fault shows.
VALUE_LIMIT_CHARS: Final = 60
# Parts of messages of pydantic and what replaces them, so that the rest fits
# behind `allowed:`.
_MESSAGE_REPLACEMENTS: Final = (
    ('Value error, ', ''),
    ('Input should be ', ''),
    ('String should match pattern', 'a string that matches'),
    ('String should have', 'a string with'),
    ('List should have', 'a list with'),
)


def explain_errors(
    exc: ValidationError,
    document: Document,
    model: type[BaseModel],
    *,
    table_path: KeyPath = (),
) -> list[Fault]:
    """Return a fault for each error in `exc`, sorted by line.

    `model` is the model that raised `exc`, and `table_path` the path in the
    document of the table that it validated.
    """
    return sorted(
        _to_fault(error, document, model, table_path)
        for error in exc.errors(include_url=False)
    )


def _to_fault(
    error: Any,
    document: Document,
    model: type[BaseModel],
    table_path: KeyPath,
) -> Fault:
    path: KeyPath = (*table_path, *error['loc'])
    message = _simplify_message(error['msg'])
    match error['type']:
        case 'missing':
            return document.build_fault(path, 'is missing')
        case 'extra_forbidden':
            allowed = ', '.join(_list_known_keys(model, error['loc']))
            return document.build_fault(path, 'unknown key', allowed)
        case 'value_error' if isinstance(error['input'], dict):
            return document.build_fault(path, message)
        case _:
            problem = 'is {0}'.format(_format_value(error['input']))
            allowed = message.removeprefix('must be ')
            return document.build_fault(path, problem, allowed)


def _simplify_message(message: str) -> str:
    for original, replacement in _MESSAGE_REPLACEMENTS:
        message = message.replace(original, replacement, 1)
    return message


def _format_value(value: object) -> str:
    text = repr(value)
    if len(text) <= VALUE_LIMIT_CHARS:
        return text
    return '{0}...'.format(text[:VALUE_LIMIT_CHARS])


def _list_known_keys(model: type[BaseModel], path: KeyPath) -> list[str]:
    """Return the keys of the table that holds the last key of `path`."""
    table = model
    for name in path[:-1]:
        if isinstance(name, str):
            annotation = table.model_fields[name].annotation
            table = next(find_models(annotation), table)
    return sorted(table.model_fields)


def find_models(annotation: object) -> Iterator[type[BaseModel]]:
    """Yield the models in an annotation such as `Model | None`."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        yield annotation
    for part in get_args(annotation):
        yield from find_models(part)
