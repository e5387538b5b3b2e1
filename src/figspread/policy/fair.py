"""Weighted fair queueing of jobs by workspace, with costs in tokens."""

import heapq
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, TypeAlias

from figspread.ids import AttemptId, WorkspaceId
from figspread.policy.tags import StartTags
from figspread.policy.types import Job

MIN_WEIGHT: Final = 0.001

# Sorted by latest start, then by order of arrival.
_HeapEntry: TypeAlias = tuple[float, int, Job]


@dataclass(slots=True)
class _Flow:
    """The waiting jobs of one workspace, as a heap."""

    weight: float
    prompt_tokens: int = 0
    entries: list[_HeapEntry] = field(default_factory=list)


class FairQueue:
    """Start-time fair queueing over workspaces.

    The workspace with the lowest start tag is served next. An idle workspace
    accumulates no credit, and the others share its capacity. Queues that use
    the same `tags` are balanced as one. Within a workspace the job with the
    lowest `latest_start` is served first.
    """

    def __init__(self, tags: StartTags) -> None:
        """Create an empty queue that charges its jobs to `tags`."""
        self._tags = tags
        self._flows: dict[WorkspaceId, _Flow] = {}
        self._jobs: dict[AttemptId, Job] = {}
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        """Return the number of waiting jobs."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        """Iterate over the waiting jobs in order of arrival."""
        return iter(tuple(self._jobs.values()))

    @property
    def prompt_tokens(self) -> int:
        """Total tokens of all waiting prompts."""
        return sum(flow.prompt_tokens for flow in self._flows.values())

    def push(self, job: Job, latest_start: float) -> None:
        """Add `job`, ordered within its workspace by `latest_start`."""
        flow = self._flows.get(job.workspace)
        if flow is None:
            flow = _Flow(MIN_WEIGHT)
            self._flows[job.workspace] = flow
        self._tags.add_waiting(job.workspace)
        flow.weight = max(job.weight, MIN_WEIGHT)
        flow.prompt_tokens += job.prompt_tokens
        entry = (latest_start, next(self._arrivals), job)
        heapq.heappush(flow.entries, entry)
        self._jobs[job.attempt] = job

    def peek(self) -> Job | None:
        """Return the job to serve next, or `None` if none is waiting."""
        waiting = [flow for flow in self._flows.values() if flow.entries]
        if not waiting:
            return None
        flow = min(waiting, key=self._sort_key)
        return flow.entries[0][-1]

    def remove(self, attempt: AttemptId) -> Job | None:
        """Remove a job that won't run, without charging its workspace."""
        job = self._jobs.pop(attempt, None)
        if job is None:
            return None
        flow = self._flows[job.workspace]
        flow.prompt_tokens -= job.prompt_tokens
        flow.entries = [
            entry for entry in flow.entries if entry[-1].attempt != attempt
        ]
        heapq.heapify(flow.entries)
        if not flow.entries:
            self._flows.pop(job.workspace)
        self._tags.remove_waiting(job.workspace)
        return job

    def pop(self, attempt: AttemptId) -> Job:
        """Remove a waiting job that starts now and charge its workspace."""
        job = self._jobs[attempt]
        flow = self._flows[job.workspace]
        cost = (job.prompt_tokens + job.output_tokens) / flow.weight
        self._tags.charge(job.workspace, cost)
        self.remove(attempt)
        return job

    def tokens_ahead_of(self, job: Job) -> float:
        """Estimate the prompt tokens that would be served before `job`.

        All waiting tokens of the job's own workspace count. Each other
        workspace counts at most the tokens that its weight grants it while
        the job's workspace is served, `job` included.
        """
        own = self._flows.get(job.workspace)
        own_tokens = own.prompt_tokens if own else 0
        weight = max(job.weight, MIN_WEIGHT)
        tokens_per_weight = (own_tokens + job.prompt_tokens) / weight
        return own_tokens + sum(
            min(flow.prompt_tokens, tokens_per_weight * flow.weight)
            for flow in self._flows.values()
            if flow is not own
        )

    def _sort_key(self, flow: _Flow) -> tuple[float, int]:
        _, arrival, job = flow.entries[0]
        return self._tags.get_start_tag(job.workspace), arrival
