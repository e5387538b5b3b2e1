"""Commands for settings files: `settings check` and `settings example`."""

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import click
from result import Err, Ok, Result

from figspread.cli.output import CommandOutput, with_json_option
from figspread.config.example import render_example
from figspread.config.faults import Fault
from figspread.config.settings import (
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    load_settings,
    parse_settings,
)
from figspread.config.toml import read_file

_SETTINGS_MODELS: Final[Mapping[str, type[ProcessSettings]]] = MappingProxyType(
    {
        'entry': EntrySettings,
        'agent': AgentSettings,
    },
)
_KIND_OPTION: Final = click.option(
    '--kind',
    type=click.Choice(list(_SETTINGS_MODELS)),
    required=True,
    help='Kind of process that the settings are for.',
)


class _ExamplePrinter:
    """Option callback that prints the example settings of `model`."""

    def __init__(self, model: type[ProcessSettings]) -> None:
        self._model = model

    def __call__(
        self,
        ctx: click.Context,
        _option: click.Parameter,
        is_given: bool,
    ) -> None:
        if is_given and not ctx.resilient_parsing:
            click.echo(render_example(self._model))
            ctx.exit()


def print_example_option(
    model: type[ProcessSettings],
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return the option `--print-example` for the command of a process."""
    return click.option(
        '--print-example',
        is_flag=True,
        is_eager=True,
        expose_value=False,
        callback=_ExamplePrinter(model),
        help='Print a commented example of the settings file and exit.',
    )


@click.group()
def settings() -> None:
    """Check settings files and print examples."""


@settings.command()
@click.argument('file', type=click.Path(path_type=Path))
@_KIND_OPTION
@click.option(
    '--with-secret',
    is_flag=True,
    help='Also check that the secret can be read on this machine.',
)
@with_json_option
def check(file: Path, kind: str, *, with_secret: bool, as_json: bool) -> None:
    """Check the settings in FILE and list all faults.

    Exits with 2 if there are any.
    """
    output = CommandOutput(as_json=as_json)
    match _check_file(file, _SETTINGS_MODELS[kind], with_secret=with_secret):
        case Ok(_):
            output.print_result(
                {'file': str(file), 'faults': []},
                '{0}: no faults'.format(file),
            )
        case Err(faults):
            output.fail_with_faults(faults)


@settings.command()
@_KIND_OPTION
@with_json_option
def example(kind: str, *, as_json: bool) -> None:
    """Print a commented example that passes the check."""
    text = render_example(_SETTINGS_MODELS[kind])
    CommandOutput(as_json=as_json).print_result(
        {'kind': kind, 'example': text}, text
    )


def _check_file(
    file: Path,
    model: type[ProcessSettings],
    *,
    with_secret: bool,
) -> Result[ProcessSettings, list[Fault]]:
    if with_secret:
        return load_settings(file, model, os.environ)
    match read_file(file):
        case Ok(raw):
            return parse_settings(raw, model, file=str(file))
        case Err(fault):
            return Err([fault])
