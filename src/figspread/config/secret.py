"""Secrets, which settings refer to by file or environment variable."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final, Self

from pydantic import Field, SecretBytes, model_validator
from result import Err, Ok, Result

from figspread.config.values import FilePath, StrictTable

# Bounds of the length of a secret, without surrounding white space.
SECRET_MIN_BYTES: Final = 16
SECRET_LIMIT_BYTES: Final = 4096


class SecretSource(StrictTable):
    """The source of a secret: either a file or an environment variable."""

    file: FilePath | None = Field(None, description='a file that holds it')
    environment: str | None = Field(
        None,
        min_length=1,
        description='the name of an environment variable that holds it',
    )

    @model_validator(mode='after')
    def _check_source(self) -> Self:
        if (self.file is None) == (self.environment is None):
            raise ValueError('must have exactly one of file and environment')
        return self


def resolve_secret(
    source: SecretSource,
    environ: Mapping[str, str],
) -> Result[SecretBytes, str]:
    """Return the secret without surrounding white space, or an error message.

    The result prints as asterisks; `get_secret_value` returns the bytes.
    """
    return _read_secret(source, environ).and_then(_check_length)


def _read_secret(
    source: SecretSource,
    environ: Mapping[str, str],
) -> Result[bytes, str]:
    if source.environment is not None:
        content = environ.get(source.environment)
        if content is None:
            return Err(
                'environment variable {0} is not set'.format(
                    source.environment,
                ),
            )
        return Ok(content.encode('utf-8', 'surrogateescape').strip())
    try:
        with Path(str(source.file)).open('rb') as stream:
            return Ok(stream.read(SECRET_LIMIT_BYTES + 1).strip())
    except (OSError, ValueError) as exc:
        return Err(str(exc))


def _check_length(secret: bytes) -> Result[SecretBytes, str]:
    if not SECRET_MIN_BYTES <= len(secret) <= SECRET_LIMIT_BYTES:
        return Err(
            'the secret must have {0} to {1} bytes'.format(
                SECRET_MIN_BYTES,
                SECRET_LIMIT_BYTES,
            ),
        )
    return Ok(SecretBytes(secret))
