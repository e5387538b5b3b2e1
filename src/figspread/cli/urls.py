"""Command-line options and arguments that take URLs."""

from typing import Final

import click

from figspread.config.values import check_url


class UrlType(click.ParamType[str]):
    """Parameter type of valid `http` and `https` URLs."""

    name = 'url'

    def convert(
        self,
        value: object,
        param: click.Parameter | None,  # noqa: WPS110 - click's own name
        ctx: click.Context | None,
    ) -> str:
        """Return the URL without a trailing slash."""
        try:
            return check_url(str(value))
        except ValueError as exc:
            self.fail('{0!r} {1}'.format(value, exc), param, ctx)


URL: Final = UrlType()
ENTRY_OPTION: Final = click.option(
    '--entry',
    'entries',
    type=URL,
    multiple=True,
    required=True,
    help="URL of an entry's operator pages, such as http://127.0.0.1:9100; may be "
    'given several times.',
)
AGENT_OPTION: Final = click.option(
    '--agent',
    'agents',
    type=URL,
    multiple=True,
    help="URL of an agent's operator pages; may be given several times.",
)
OBJECT_API_OPTION: Final = click.option(
    '--object-api',
    'url',
    type=URL,
    required=True,
    envvar='FIGSPREAD_OBJECT_API',
    show_envvar=True,
    help='URL of the Object API.',
)
