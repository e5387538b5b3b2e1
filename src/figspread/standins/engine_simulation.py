"""A simulation of an engine's timing, with continuous batching.

The engine works in steps. A step prefills at most `piece_tokens` prompt
tokens, at `prefill_tokens_per_s`, and decodes one token of every request whose
prefill is done. It lasts

    prefilled / prefill_tokens_per_s
    + (step_ms + step_per_request_ms * decoding) / 1000  if any decodes

seconds, so the inter-token time grows with the batch and with concurrent
prefills. The prefill tokens of a step go to the prompts with the highest
priority number. Among equals they go to the least recently served one, in
quarters of a step, so that a long prompt doesn't delay a short one that came
later. A request's first token is produced at the end of the step that finishes
its prefill.

KV memory for the prompt and the whole answer is reserved when a request
starts. The request is refused with 503 if that doesn't fit now, with 413 if it
never fits. Prompt tokens found in the prefix cache cost no time, except for
the last one. After a resume the tokens that the caller has already are
prefilled as well.

A request with `stuck_after` makes no progress after that many tokens and
holds its memory until it is cancelled.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from figspread.standins.engine_memory import KvMemory
from figspread.standins.engine_requests import Progress, Refusal, RunRequest
from figspread.standins.engine_settings import EngineSettings

_SHARES_PER_STEP: Final = 4
_MS_PER_S: Final = 1000


@dataclass
class _ActiveRequest:
    request: RunRequest
    prefill_left: int
    next_token: int
    last_served: int = 0

    @property
    def is_stuck(self) -> bool:
        produced = self.next_token - self.request.first_token
        limit = self.request.stuck_after
        return limit is not None and produced >= limit


@dataclass
class _Step:
    end_s: float
    decoding: Sequence[_ActiveRequest]
    prefilled: Sequence[tuple[_ActiveRequest, int]]


class EngineSimulation:
    """The active requests and the KV memory of an engine over time.

    It has neither threads nor a clock: callers pass the engine's time in
    seconds, which must not decrease.
    """

    def __init__(
        self,
        settings: EngineSettings,
        memory: KvMemory,
        slow_factor: Callable[[], float] = lambda: 1,
    ) -> None:
        """Start idle; `slow_factor()` multiplies the duration of each step."""
        self._settings = settings
        self._memory = memory
        self._slow_factor = slow_factor
        self._active: dict[str, _ActiveRequest] = {}
        self._step: _Step | None = None
        self._serve_count = 0

    def submit(self, now: float, request: RunRequest) -> Result[None, Refusal]:
        """Start a request or refuse it; `advance` to `now` first."""
        if request.kv_tokens > self._memory.limit_tokens:
            return Err(Refusal(413, 'larger than the whole KV memory'))
        if request.attempt in self._active:
            return Err(Refusal(409, 'a request with this id runs'))
        if len(self._active) >= self._settings.max_requests:
            return Err(
                Refusal(
                    503, 'too many requests', self._estimate_retry_after_s()
                )
            )
        if not self._memory.reserve(request.attempt, request.kv_tokens):
            return Err(
                Refusal(
                    503, 'the KV memory is full', self._estimate_retry_after_s()
                )
            )
        self._active[request.attempt] = _ActiveRequest(
            request,
            prefill_left=request.prefill_tokens,
            next_token=request.first_token,
        )
        if self._step is None:
            self._step = self._plan_step(now)
        return Ok(None)

    def cancel(self, attempt: str) -> bool:
        """Remove a request and release its memory; return whether it was found."""
        if self._active.pop(attempt, None) is None:
            return False
        self._memory.release(attempt)
        return True

    def advance(self, now: float) -> Iterator[Progress]:
        """Finish the steps that end by `now` and yield what they produced."""
        while self._step and self._step.end_s <= now:
            step = self._step
            yield from self._finish_step(step)
            self._step = self._plan_step(step.end_s)

    def next_step_end(self) -> float | None:
        """Return when the current step ends, or `None` if the engine is idle."""
        return self._step.end_s if self._step else None

    def count_running(self) -> int:
        """Return the number of active requests."""
        return len(self._active)

    def count_prefill_tokens(self) -> int:
        """Return the number of prompt tokens that wait for their prefill."""
        return sum(run.prefill_left for run in self._active.values())

    def count_decode_tokens(self) -> int:
        """Return the number of output tokens still to be decoded."""
        return sum(
            max(0, run.request.end_token - run.next_token)
            for run in self._active.values()
        )

    def is_running(self, attempt: str) -> bool:
        """Return whether the request is active."""
        return attempt in self._active

    def _estimate_retry_after_s(self) -> float:
        # The time to prefill all prompts and to decode the shortest answer.
        prefill_s = (
            self.count_prefill_tokens() / self._settings.prefill_tokens_per_s
        )
        shortest_answer = min(
            (
                run.request.end_token - run.next_token
                for run in self._active.values()
            ),
            default=0,
        )
        decode_s = self._decode_time_s(len(self._active))
        return prefill_s + max(1, shortest_answer) * decode_s

    def _plan_step(self, start_s: float) -> _Step | None:
        active = [run for run in self._active.values() if not run.is_stuck]
        if not active:
            return None
        decoding = [run for run in active if not run.prefill_left]
        prefilled = self._distribute_prefill(
            [run for run in active if run.prefill_left]
        )
        tokens = sum(share for _, share in prefilled)
        duration_s = tokens / self._settings.prefill_tokens_per_s
        if decoding:
            duration_s += self._decode_time_s(len(decoding))
        return _Step(
            start_s + duration_s * self._slow_factor(), decoding, prefilled
        )

    def _decode_time_s(self, decoding: int) -> float:
        per_request = self._settings.step_per_request_ms * decoding
        return (self._settings.step_ms + per_request) / _MS_PER_S

    def _distribute_prefill(
        self, waiting: Sequence[_ActiveRequest]
    ) -> Sequence[tuple[_ActiveRequest, int]]:
        tokens_left = self._settings.piece_tokens
        quantum = max(1, tokens_left // _SHARES_PER_STEP)
        shares = {run.request.attempt: 0 for run in waiting}
        while tokens_left:
            run = _select_next(waiting, shares)
            if run is None:
                break
            attempt_id = run.request.attempt
            granted = min(
                quantum, tokens_left, run.prefill_left - shares[attempt_id]
            )
            shares[attempt_id] += granted
            tokens_left -= granted
            self._serve_count += 1
            run.last_served = self._serve_count
        return [(run, shares[run.request.attempt]) for run in waiting]

    def _finish_step(self, step: _Step) -> Iterator[Progress]:
        for run, tokens in step.prefilled:
            run.prefill_left -= tokens
            if tokens and not run.prefill_left and self._is_active(run):
                yield self._advance_request(run)
        for decoding in step.decoding:
            if self._is_active(decoding):
                yield self._advance_request(decoding)

    def _is_active(self, run: _ActiveRequest) -> bool:
        # The attempt may have been cancelled and submitted again since.
        return self._active.get(run.request.attempt) is run

    def _advance_request(self, run: _ActiveRequest) -> Progress:
        request = run.request
        index = run.next_token
        run.next_token += 1
        if request.is_prefill_only:
            self._active.pop(request.attempt)
            self._memory.convert_to_handle(request.attempt)
            return Progress(request.attempt, -1, is_last=True)
        is_last = run.next_token >= request.end_token
        if is_last:
            self.cancel(request.attempt)
        return Progress(request.attempt, index, is_last)


def _select_next(
    waiting: Sequence[_ActiveRequest], shares: dict[str, int]
) -> _ActiveRequest | None:
    return min(
        (
            run
            for run in waiting
            if run.prefill_left > shares[run.request.attempt]
        ),
        key=lambda run: (-run.request.priority, run.last_served),
        default=None,
    )
