"""Logs as JSON lines, written through eliot."""

from enum import IntEnum
from typing import Any, Protocol, Self, TextIO

import eliot


class Level(IntEnum):
    """How much a message matters."""

    DEBUG = 10
    INFO = 20  # noqa: WPS110
    WARNING = 30
    ERROR = 40


class MessageLogger(Protocol):
    """What eliot's loggers are to a log, and a test's own one."""

    def write(
        self,
        dictionary: dict[str, Any],
        serializer: object = None,
    ) -> None:
        """Take one message."""


def open_log(level: str, process: str, stream: TextIO) -> 'Log':
    """Send the process's messages to `stream` and return its log.

    `level` is the name of a `Level` in any case. Call this once a process:
    eliot's destinations are the process's own.
    """
    add_destination(stream)
    return Log(Level[level.upper()], {'process': process})


def add_destination(stream: object) -> None:
    """Send the process's messages to `stream`, a file or the like of one."""
    eliot.add_destinations(eliot.FileDestination(file=stream))


class Log:
    """Writes messages with fields; each message is one JSON object.

    ```
    >>> log = Log(Level.WARNING, {}).bind(request='req-1')
    >>> log.debug('queued', tokens=5)
    ```
    """

    def __init__(
        self,
        level: Level,
        fields: dict[str, Any],
        *,
        logger: MessageLogger | None = None,
    ) -> None:
        """Write messages from `level` up, all with `fields`."""
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
        """Write what only helps when looking for a fault."""
        self._write(Level.DEBUG, event, fields)

    def info(self, event: str, **fields: object) -> None:  # noqa: WPS110
        """Write what happens in ordinary service."""
        self._write(Level.INFO, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Write what an operator should know."""
        self._write(Level.WARNING, event, fields)

    def error(self, event: str, **fields: object) -> None:
        """Write what an operator must look at."""
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
