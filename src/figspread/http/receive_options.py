"""Limits of what clients of a server send, and what decides on them."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import msgspec


class ReceiveFault(Enum):
    """Why a request is refused before a thread serves it.

    The values are labels of a metric and fields of the log.
    """

    TOO_LARGE = 'body too large'
    NO_LENGTH = 'body without a length'
    NO_ROOM = 'memory of requests'
    LATE = 'request late'
    CUT = 'request ended early'
    FULL = 'as many requests as are admitted'
    LEAVING = 'entry leaves'


class HeldBody(Protocol):
    """The memory that a whole request has."""

    def release(self) -> None:
        """Give it back; further calls do nothing."""


class ReceiveOptions(msgspec.Struct, frozen=True):
    """Limits of requests, and what decides on them.

    `body_bytes` bounds a body; with 0, threads read bodies themselves. `hold`
    returns the memory of a whole body, `None` if there is none. `find_fault` is asked
    before a body is received, `build_refusal` returns a whole response, and
    `report` is called with the reason of each refusal and closing. `tick` is
    called now and then.
    """

    connections: int = 1024
    head_bytes: int = 65_536
    body_bytes: int = 0
    receiving_bytes: int = 67_108_864
    head_timeout_s: float = 10
    body_timeout_s: float = 30
    idle_timeout_s: float = 10
    hold: Callable[[int], HeldBody | None] = lambda size: None
    find_fault: Callable[[], ReceiveFault | None] = lambda: None
    build_refusal: Callable[[ReceiveFault], bytes] = lambda fault: b''
    report: Callable[[str], None] = lambda reason: None
    tick: Callable[[], None] = lambda: None
