"""The complete set of outcomes of a request, used in all of figspread.

`NotRun` guarantees that the request did not run and never will under that
attempt. Where this is not certain, the outcome is `Unknown`.
"""

from enum import Enum
from typing import TypeAlias

import msgspec


class NotRunReason(Enum):
    """Reason why a request was refused before any of it ran."""

    BAD_REQUEST = 'bad_request'
    UNAUTHORIZED = 'unauthorized'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    TOO_LARGE = 'too_large'
    KEY_REUSED = 'key_reused'
    LIMIT = 'limit'
    OVERLOAD = 'overload'
    NO_UPSTREAM = 'no_upstream'
    LEAVING = 'leaving'
    NOT_READY = 'not_ready'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    STORE_DOWN = 'store_down'
    SUSPECT = 'suspect'


class FailedReason(Enum):
    """Reason why a request that ran has no complete answer."""

    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    UPSTREAM_DIED = 'upstream_died'
    UPSTREAM_ERROR = 'upstream_error'
    RETRIES_SPENT = 'retries_spent'
    CRASHES_UPSTREAMS = 'crashes_upstreams'
    BROKEN_STREAM = 'broken_stream'
    ANSWER_NOT_KEPT = 'answer_not_kept'


class UnknownReason(Enum):
    """Reason why it is uncertain whether a request ran."""

    CONNECTION_LOST = 'connection_lost'
    DEADLINE = 'deadline'
    IN_PROGRESS = 'in_progress'
    CLAIMANT_LOST = 'claimant_lost'
    UPSTREAM_DIED = 'upstream_died'
    STORE_UNCLEAR = 'store_unclear'


class Answered(msgspec.Struct, frozen=True, tag=True):
    """The complete answer was given."""


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """The request did not run; it may be sent again after `retry_after_s`."""

    reason: NotRunReason
    retry_after_s: float = 1.0
    detail: str = ''


class Failed(msgspec.Struct, frozen=True, tag=True):
    """The request ran and has no complete answer."""

    reason: FailedReason
    detail: str = ''
    retry_after_s: float = 0


class Unknown(msgspec.Struct, frozen=True, tag=True):
    """The request may have run; whether it did is uncertain."""

    reason: UnknownReason
    detail: str = ''
    retry_after_s: float = 0


Outcome: TypeAlias = Answered | NotRun | Failed | Unknown
