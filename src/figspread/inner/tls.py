"""Mutual TLS for inner connections."""

import ssl
from pathlib import Path

import msgspec


class TlsFiles(msgspec.Struct, frozen=True):
    """Paths of PEM files.

    `authority` is the CA certificate that signs the certificates of all peers.
    """

    certificate: Path
    key: Path
    authority: Path


def make_accepting_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of the accepting side.

    Raises `OSError` when a file can't be read, or when key and certificate
    don't match.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_files(context, files)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_opening_context(files: TlsFiles) -> ssl.SSLContext:
    """Return the TLS context of the opening side.

    Peers are addressed by IP addresses that change, so the CA's signature is
    verified but the host name is not; peers are authenticated by the shared
    secret. Raises `OSError` like `make_accepting_context`.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    _load_files(context, files)
    context.check_hostname = False
    return context


def _load_files(context: ssl.SSLContext, files: TlsFiles) -> None:
    context.load_cert_chain(files.certificate, files.key)
    context.load_verify_locations(files.authority)
