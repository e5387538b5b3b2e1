"""The possible results of sending a request to one upstream."""

from typing import TypeAlias

import msgspec

from figspread.http1.fields import Fields


class CompleteAnswer(msgspec.Struct, frozen=True):
    """The upstream's complete response: a success or an error of its own."""

    status: int
    fields: Fields
    body: bytes


class StreamCompleted(msgspec.Struct, frozen=True):
    """The stream was relayed to the caller up to its end."""


class ConnectFailed(msgspec.Struct, frozen=True):
    """No connection could be opened, so the upstream received nothing.

    `is_refused` says that the connection was refused, which shows that the
    upstream's process is dead.
    """

    detail: str
    is_refused: bool = False


class NotExecuted(msgspec.Struct, frozen=True):
    """The upstream states that it did not run the request and won't run it.

    `at_fault` is the id or address of the upstream that caused the failure,
    which may be a helper, or empty. `is_overloaded` means that this one takes
    no more requests now.
    """

    detail: str
    at_fault: str = ''
    is_wrong_instance: bool = False
    is_overloaded: bool = False


class NotSent(msgspec.Struct, frozen=True):
    """The upstream may not be sent the request any more; nothing was sent."""

    detail: str


class AnswerLost(msgspec.Struct, frozen=True):
    """The request may have run, but its complete response was not received.

    `is_connection_lost` is `False` if a response came but was not genuine.
    `may_be_whole` says that all of it may have been received: it has no
    framing, and its connection was closed in an orderly way.
    """

    detail: str
    is_connection_lost: bool = True
    may_be_whole: bool = False


AttemptResult: TypeAlias = (
    CompleteAnswer
    | StreamCompleted
    | ConnectFailed
    | NotSent
    | NotExecuted
    | AnswerLost
)
