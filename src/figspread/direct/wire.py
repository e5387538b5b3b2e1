"""What the adapter of a platform translates for a direct entry."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from figspread.direct.model import CallerRequest, Deployment, Upstream
from figspread.http1.caller import Request
from figspread.http1.client import Head
from figspread.http1.fields import Fields
from figspread.ids import UpstreamId, WorkspaceId


class Malformed(Exception):
    """What came can't be decoded."""


class Onward(msgspec.Struct, frozen=True):
    """What an attempt tells the upstream beside the caller's own fields.

    `helpers` read a part of the prompt each: their addresses, with the ticket
    for the memory that is set aside there or an empty one. `priority` is 0 for the first, 9 for the last.
    """

    upstream: UpstreamId
    time_left_s: float
    workspace: WorkspaceId | None
    priority: int | None = None
    helpers: tuple[tuple[str, str], ...] = ()
    resume_after: int = -1


class Verdict(msgspec.Struct, frozen=True):
    """What an answer's head says.

    `has_run` is `False` only if the upstream states that the request did not
    run. `is_genuine` says that the upstream has signed the answer, and that
    it belongs to this request. `at_fault` names another upstream that caused
    the failure.
    """

    has_run: bool
    is_genuine: bool
    is_wrong_instance: bool = False
    at_fault: str = ''


class Report(msgspec.Struct, frozen=True):
    """An engine's own view, some hundred milliseconds old."""

    running: int
    waiting: int
    kv_used: int
    kv_total: int
    pace: float = 1


class Order(msgspec.Struct, frozen=True):
    """Memory to set aside at an engine under `ticket`, or to free."""

    ticket: str
    tokens: int = 0
    hold_s: float = 0


class Wire(Protocol):
    """Translates between the platform's messages and the product's types."""

    def decode_request(self, request: Request) -> CallerRequest:
        """Return the caller's request; raises `Malformed`."""

    def encode_onward(self, request: CallerRequest, onward: Onward) -> Fields:
        """Return the fields that an attempt is sent with."""

    def judge(self, request: CallerRequest, head: Head) -> Verdict:
        """Tell what an answer's head says of the request."""

    def encode_order(self, upstream: Upstream, order: Order) -> Request:
        """Return the call that sets memory aside, or frees it at 0 tokens."""

    def decode_deployment(self, document: bytes) -> Deployment:
        """Return the configuration; raises `Malformed`."""

    def decode_upstream(self, name: str, document: bytes) -> Upstream:
        """Return an upstream's entry; raises `Malformed`."""


class StoredDocument(msgspec.Struct, frozen=True):
    """An object of the store; `document` is what its writer specified."""

    name: str
    revision: int
    document: bytes
    is_deleted: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind if it `is_whole`, else changes, by `revision`."""

    rows: Sequence[StoredDocument]
    revision: int
    is_whole: bool = True


class StoreFault(Exception):
    """The store gave no answer that can be used."""


class HistoryGone(StoreFault):
    """The store no longer has the changes since a revision."""


class Facts(Protocol):
    """The platform's store as a direct entry reads it; calls are bounded."""

    async def list_kind(self, kind: str) -> Listing:
        """Return all objects of a kind; raises `StoreFault`."""

    async def watch_kind(
        self,
        kind: str,
        revision: int,
        wait_s: float,
    ) -> Listing:
        """Return the changes after `revision`, perhaps none.

        Raises `StoreFault`, `HistoryGone` if it has to be listed anew.
        """

    async def check(self, kind: str) -> None:
        """Make a cheap call that needs no fresh answer.

        Raises `StoreFault` if there is none.
        """

    async def publish(self, kind: str, name: str, document: bytes) -> None:
        """Write an own object; raises `StoreFault`."""
