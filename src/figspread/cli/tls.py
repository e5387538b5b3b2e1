"""TLS contexts from the settings of a process."""

import ssl
from collections.abc import Callable

from figspread.config.settings import TlsSettings
from figspread.inner.tls import TlsFiles


def make_tls_context(
    cfg: TlsSettings | None,
    make_context: Callable[[TlsFiles], ssl.SSLContext],
) -> ssl.SSLContext | None:
    """Return the TLS context for `cfg`, or `None` without TLS settings.

    `make_context` makes the context of the client or of the server side.
    Raises `OSError` when a file can't be read or does not match the others.
    """
    if cfg is None:
        return None
    return make_context(TlsFiles(cfg.certificate, cfg.key, cfg.authority))
