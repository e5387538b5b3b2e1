"""Interfaces between a direct entry and the adapter of its platform."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from figspread.direct.model import CallerRequest, Deployment, Upstream
from figspread.http1.client import Head
from figspread.http1.fields import Fields
from figspread.http1.requests import Request
from figspread.ids import UpstreamId, WorkspaceId
from figspread.policy.notices import UpstreamNotice


class MalformedMessage(Exception):
    """A message or document that can't be decoded."""


class ForwardedAttempt(msgspec.Struct, frozen=True):
    """What an attempt tells the upstream besides the caller's own headers.

    `helpers` are engines that each prefill a part of the prompt: their
    addresses, each with the ticket of the memory reserved there, which is
    empty if none is. `priority` is from 0, served first, to 9.
    """

    upstream: UpstreamId
    time_left_s: float
    workspace: WorkspaceId | None
    priority: int | None = None
    helpers: tuple[tuple[str, str], ...] = ()
    resume_after: int = -1


class AnswerClassification(msgspec.Struct, frozen=True):
    """What the status and headers of an upstream's answer imply.

    `has_run` is `False` only if the upstream states that the request did not
    run. `is_genuine` means that the upstream signed the answer and that the
    answer belongs to this request. `names_request` means that it has the id of
    this request. `at_fault` names another upstream that caused the failure, if
    any. `notice` is what the upstream says of itself,
    or `None` if the answer may be another upstream's.
    """

    has_run: bool
    is_genuine: bool
    names_request: bool = False
    is_wrong_instance: bool = False
    at_fault: str = ''
    notice: UpstreamNotice | None = None


class ReservationOrder(msgspec.Struct, frozen=True):
    """A call to reserve `tokens` of KV memory at an engine, or to release it.

    `ticket` identifies the reservation, which lasts `hold_s`. Zero tokens
    release it.
    """

    ticket: str
    tokens: int = 0
    hold_s: float = 0


class PlatformCodec(Protocol):
    """Translates between the platform's formats and the types of the entry."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Decode a caller's request; raises `MalformedMessage`."""

    def encode_attempt_fields(
        self, request: CallerRequest, onward: ForwardedAttempt
    ) -> Fields:
        """Return the headers to send with an attempt."""

    def classify_answer(
        self, request: CallerRequest, head: Head
    ) -> AnswerClassification:
        """Classify an answer to `request` by its status and headers."""

    def encode_reservation(
        self, upstream: Upstream, order: ReservationOrder
    ) -> Request:
        """Return the HTTP call that reserves memory, or releases it."""

    def decode_deployment(self, document: bytes) -> Deployment:
        """Decode the operator's configuration; raises `MalformedMessage`."""

    def decode_upstream(self, name: str, document: bytes) -> Upstream:
        """Decode the record of the upstream `name`.

        Raises `MalformedMessage`.
        """


class StoredDocument(msgspec.Struct, frozen=True):
    """An object of the store; `document` is the part that its writer sets.

    `revision` is a `StoreVersion`.
    """

    name: str
    revision: int
    document: bytes
    is_deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind if `is_whole`, else only changes.

    `revision` is the `StoreVersion` up to which it is complete. `unreadable` has
    a reason for each object that is left out as not even its name can be read.
    """

    rows: Sequence[StoredDocument]
    revision: int
    is_whole: bool = True
    unreadable: Sequence[str] = ()


class StoreError(Exception):
    """The store gave no answer or an unusable one."""


class NoAnswer(StoreError):
    """The call was made, but its answer hasn't come in time."""


class HistoryExpired(StoreError):
    """The store no longer keeps the changes since the requested version."""


class StoreWentBack(HistoryExpired):
    """The store has come back from a copy, so all must be listed again."""


class StoreClient(Protocol):
    """Client of the platform's store; each call has a time limit.

    `era` rises each time the store comes back from an older copy, and is 0
    before the first answer.
    """

    era: int

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind; raises `StoreError`."""

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> Listing:
        """Wait up to `wait_s` for changes after `revision`; return them.

        There may be none. Raises `HistoryExpired` if the kind must be listed
        again, `StoreWentBack` if that is because the store has come back from a
        copy, else `StoreError`.
        """

    async def check(self, kind: str) -> None:
        """Check that the store answers; raises `StoreError` if it doesn't.

        The call is cheap, because a stale answer is enough.
        """

    async def publish(self, kind: str, name: str, document: bytes) -> bool:
        """Write an object that this entry owns; raises `StoreError`.

        Return whether there was none of this name before.
        """

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists; raises `StoreError`."""
