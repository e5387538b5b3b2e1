"""Example settings files with comments, generated from settings models."""

from collections.abc import Iterator
from typing import Any

import tomlkit
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from tomlkit.container import Container
from tomlkit.items import Item, Table

from figspread.config.validation import find_models


def render_example(model: type[BaseModel]) -> str:
    """Return example TOML that `model` accepts, for `--print-example`.

    Keys have their first example or else their default as value. The comment
    of a key is its description, that of a table the first line of its model's
    docstring. Optional tables come last and are commented out: their lines
    start with `#` without a space, unlike those of comments.
    """
    document = tomlkit.document()
    _add_comment(document, model.__doc__)
    document.add(tomlkit.nl())
    _add_values(document, model)
    for name, table_model in _list_tables(model, is_mandatory=True):
        document.add(name, _build_table(table_model))
    parts = [tomlkit.dumps(document)]
    for name, table_model in _list_tables(model, is_mandatory=False):
        parts.append(
            _comment_out(tomlkit.dumps({name: _build_table(table_model)})),
        )
    return '\n\n'.join(part.strip('\n') for part in parts)


def _build_table(model: type[BaseModel]) -> Table:
    table = tomlkit.table()
    _add_comment(table, model.__doc__)
    _add_values(table, model)
    table.add(tomlkit.nl())
    return table


def _add_values(table: Container | Table, model: type[BaseModel]) -> None:
    for name, field in model.model_fields.items():
        if _find_table_model(field) is None:
            _add_comment(table, field.description)
            table.add(name, _to_toml_item(_select_example_value(field)))
    if isinstance(table, Container):
        table.add(tomlkit.nl())


def _list_tables(
    model: type[BaseModel],
    *,
    is_mandatory: bool,
) -> Iterator[tuple[str, type[BaseModel]]]:
    for name, field in model.model_fields.items():
        table_model = _find_table_model(field)
        if table_model is not None and field.is_required() is is_mandatory:
            yield name, table_model


def _comment_out(text: str) -> str:
    return '\n'.join(
        line if line.startswith('# ') else '#{0}'.format(line)
        for line in text.rstrip('\n').splitlines()
    )


def _add_comment(table: Container | Table, text: str | None) -> None:
    for line in _first_line(text):
        table.add(tomlkit.comment(line))


def _first_line(text: str | None) -> Iterator[str]:
    if text:
        yield text.partition('\n')[0]


def _find_table_model(field: FieldInfo) -> type[BaseModel] | None:
    """Return the model of a field that is written as a separate table.

    A field with examples is written inline, even if its type is a model.
    """
    if field.examples:
        return None
    return next(find_models(field.annotation), None)


def _select_example_value(field: FieldInfo) -> Any:
    if field.examples:
        return field.examples[0]
    return field.get_default()


def _to_toml_item(value: Any) -> Item:
    if isinstance(value, dict):
        inline = tomlkit.inline_table()
        inline.update(value)
        return inline
    toml_item: Item = tomlkit.item(getattr(value, 'value', value))
    return toml_item
