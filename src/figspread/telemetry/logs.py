"""Structured logs as JSON lines, written with eliot."""

from enum import IntEnum
from typing import Any, Protocol, Self, TextIO

import eliot


class Level(IntEnum):
    """Severity of a message."""

    DEBUG = 10
    INFO = 20  # noqa: WPS110
    WARNING = 30
    ERROR = 40


class MessageLogger(Protocol):
    """Interface of eliot's loggers; tests pass their own."""

    def write(
        self,
        dictionary: dict[str, Any],
        serializer: object = None,
    ) -> None:
        """Write one message."""


def open_log(level: str, process: str, stream: TextIO) -> 'Log':
    """Send the process's messages to `stream` and return its log.

    `level` is the name of a `Level` in upper or lower case. Call this once per
    process: eliot's destinations are global to the process.
    """
    add_destination(stream)
    return Log(Level[level.upper()], {'process': process})


def add_destination(stream: object) -> None:
    """Send the process's messages to `stream`, a file-like object."""
    eliot.add_destinations(eliot.FileDestination(file=stream))


class Log:
    """Writes messages of at least a given level as JSON objects with fields.

    ```
    >>> log = Log(Level.WARNING, {}).bind(request='req-1')
    >>> log.debug('queued', tokens=5)  # below WARNING: writes nothing
    ```
    """

    def __init__(
        self,
        level: Level,
        fields: dict[str, Any],
        *,
        logger: MessageLogger | None = None,
    ) -> None:
        """Write messages of at least `level`, each with `fields`."""
        self._level = level
        self._fields = fields
        self._logger = logger

    def bind(self, **fields: object) -> Self:
        """Return a log that adds `fields` to each message."""
        return type(self)(
            self._level,
            {**self._fields, **fields},
            logger=self._logger,
        )

    def debug(self, event: str, **fields: object) -> None:
        """Write a message that helps only when debugging."""
        self._write(Level.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:  # noqa: WPS110
        """Write a message about normal operation."""
        self._write(Level.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write a message that an operator should know of."""
        self._write(Level.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write a message that an operator must act on."""
        self._write(Level.ERROR, event, fields)

    def _write(
        self,
        level: Level,
        event: str,
        fields: dict[str, object],
    ) -> None:
        if level < self._level:
            return
        logger = {'__eliot_logger__': self._logger} if self._logger else {}
        eliot.log_message(
            event,
            level=level.name.lower(),
            **self._fields,
            **fields,
            **logger,
        )
