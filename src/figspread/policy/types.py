"""Inputs, results and protocols of the policies."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec

from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    ModelName,
    RequestId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.messages import Load
from figspread.outcome import NotRun


class LengthClass(Enum):
    """Classes of prompt length; each has its own lane and metrics."""

    SHORT = '1k-4k'
    MEDIUM = '4k-32k'
    LONG = '32k-128k'
    HUGE = '128k-1M'


class RequestProfile(msgspec.Struct, frozen=True):
    """The size and attributes of a request that the policies use.

    `prefix` is a digest of the beginning of the prompt, used to route it to
    engines that have it cached.
    """

    request: RequestId
    workspace: WorkspaceId
    model: ModelName
    prompt_tokens: int
    output_tokens: int
    prefix: str = ''
    fingerprint: Fingerprint = Fingerprint('')
    priority: int = 0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that could take a request, as seen by one entry.

    The `own_` fields count what this entry has sent to the upstream since the
    report in `load` was made.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    load: Load
    kv_tokens: int
    own_prefill_tokens: int = 0
    own_decode_tokens: int = 0
    own_requests: int = 0


class Router(Protocol):
    """Ranks the upstreams for a request."""

    def rank(
        self,
        work: RequestProfile,
        candidates: Sequence[Candidate],
        *,
        home: DataCentreId,
    ) -> Sequence[UpstreamId]:
        """Return the upstreams to try, the best first."""


class Admitted(msgspec.Struct, frozen=True):
    """The request is admitted; `Admission.release` must be called once."""


class Admission(Protocol):
    """Admission control of an entry, decided without remote calls."""

    def admit(
        self,
        work: RequestProfile,
        *,
        ahead_s: float = 0,
        time_left_s: float = float('inf'),
    ) -> Admitted | NotRun:
        """Admit `work`, or refuse it with a retry delay."""

    def release(self, work: RequestProfile) -> None:
        """Release the share that `admit` acquired."""


class Job(msgspec.Struct, frozen=True):
    """An attempt in an agent's queue.

    `expires` is its deadline in seconds on the queue's clock.
    """

    attempt: AttemptId
    workspace: WorkspaceId
    prompt_tokens: int
    output_tokens: int
    expires: float
    weight: float = 1
    priority: int = 0


class JobQueue(Protocol):
    """The queue of one upstream, which decides what runs there and when.

    Not thread-safe: it belongs to the agent's event loop. A job is offered,
    then either taken, which starts it, or withdrawn. A taken job is finished
    once.
    """

    def offer(self, job: Job) -> NotRun | None:
        """Queue `job`, or refuse it with a retry delay."""

    def take(self) -> Job | None:
        """Start and return the next job that fits now, or return `None`."""

    def withdraw(self, attempt: AttemptId) -> bool:
        """Remove a waiting job; return whether it was in the queue."""

    def mark_prefilled(self, attempt: AttemptId) -> None:
        """Record that a running job has produced its first token."""

    def finish(self, attempt: AttemptId) -> None:
        """Release the resources of a running job."""

    def expire(self) -> Sequence[Job]:
        """Remove and return waiting jobs that would miss their deadline."""

    def load(self) -> Load:
        """Return the waiting and running work in requests and tokens."""
