"""Queue lanes, one for each class of prompt length."""

from collections.abc import Iterator, Sequence
from typing import Final

import msgspec

from figspread.ids import AttemptId
from figspread.policy.fair import FairQueue
from figspread.policy.prompts import length_class
from figspread.policy.tags import StartTags
from figspread.policy.types import Job, LengthClass


class LaneLimits(msgspec.Struct, frozen=True):
    """Limit on the prompt tokens of a lane that are in prefill at once.

    A prompt above the limit may still start when its lane has nothing in
    prefill, so that every prompt can run.
    """

    kind: LengthClass
    prefill_tokens: int


DEFAULT_LANES: Final = (
    LaneLimits(LengthClass.SHORT, 16_384),
    LaneLimits(LengthClass.MEDIUM, 32_768),
    LaneLimits(LengthClass.LONG, 65_536),
    LaneLimits(LengthClass.HUGE, 131_072),
)


class Lane:
    """The waiting jobs of one length class and its jobs in prefill."""

    def __init__(self, limits: LaneLimits, tags: StartTags) -> None:
        """Create an empty lane; all lanes of a queue share `tags`."""
        self.waiting = FairQueue(tags)
        self._limits = limits
        self._prefilling: dict[AttemptId, int] = {}

    @property
    def prefilling_tokens(self) -> int:
        """Total tokens of the prompts in prefill."""
        return sum(self._prefilling.values())

    def has_budget(self, job: Job) -> bool:
        """Return whether the lane's prefill limit leaves room for `job`."""
        if not self._prefilling:
            return True
        tokens = self.prefilling_tokens + job.prompt_tokens
        return tokens <= self._limits.prefill_tokens

    def start_prefill(self, job: Job) -> None:
        """Move a waiting job into prefill."""
        self.waiting.pop(job.attempt)
        self._prefilling[job.attempt] = job.prompt_tokens

    def end_prefill(self, attempt: AttemptId) -> None:
        """Remove a job from prefill; do nothing if it isn't there."""
        self._prefilling.pop(attempt, None)


class Lanes:
    """All lanes of a queue, ordered from shortest to longest prompts."""

    def __init__(self, limits: Sequence[LaneLimits]) -> None:
        """Create empty lanes; `limits` contains each length class once."""
        tags = StartTags()
        self._lanes = {lane.kind: Lane(lane, tags) for lane in limits}

    def __iter__(self) -> Iterator[Lane]:
        """Iterate over the lanes from shortest to longest prompts."""
        return iter(self._lanes.values())

    def lane_for(self, job: Job) -> Lane:
        """Return the lane for the prompt length of `job`."""
        return self._lanes[length_class(job.prompt_tokens)]

    def waiting_jobs(self) -> Iterator[Job]:
        """Iterate over the waiting jobs of all lanes."""
        for lane in self:
            yield from lane.waiting

    def tokens_per_lane(self) -> tuple[int, ...]:
        """Return the waiting and prefilling prompt tokens of each lane."""
        return tuple(
            lane.waiting.prompt_tokens + lane.prefilling_tokens for lane in self
        )

    def tokens_ahead_of(self, job: Job) -> float:
        """Estimate the prompt tokens that are served before `job`."""
        own = self.lane_for(job)
        tokens = own.prefilling_tokens + own.waiting.tokens_ahead_of(job)
        for lane in self:
            if lane is own:
                break
            tokens += lane.prefilling_tokens + lane.waiting.prompt_tokens
        return tokens

    def heads(self, held: Job | None) -> Iterator[tuple[Lane, Job]]:
        """Iterate over the head jobs whose lanes have budget, `held` first.

        Other jobs in the lane of `held` are skipped until it has started.
        """
        held_lane = None if held is None else self.lane_for(held)
        if held is not None and held_lane and held_lane.has_budget(held):
            yield held_lane, held
        for lane in self:
            job = lane.waiting.peek()
            if job is None or lane is held_lane:
                continue
            if lane.has_budget(job):
                yield lane, job
