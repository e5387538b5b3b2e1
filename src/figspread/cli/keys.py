"""Command that makes API keys: `workspace-key`."""

import hashlib
import secrets
from typing import Final

import click

from figspread.cli.output import CommandOutput, with_json_option

KEY_BYTES: Final = 32


@click.command('workspace-key')
@with_json_option
def workspace_key(*, as_json: bool) -> None:
    """Make a random API key and the hash that goes into a release note.

    The key is printed once and stored nowhere.
    """
    key = 'fig-{0}'.format(secrets.token_urlsafe(KEY_BYTES))
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    CommandOutput(as_json=as_json).print_result(
        {'key': key, 'key_hash': key_hash},
        'key:      {0}\nkey hash: {1}'.format(key, key_hash),
    )
