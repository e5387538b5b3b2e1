"""An open-loop load run: send times do not depend on responses."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Final, TypeAlias

from figspread.load.arrivals import (
    Arrival,
    PromptCall,
    ServiceCall,
    generate_arrivals,
)
from figspread.load.plan import LoadPlan
from figspread.load.recorder import RunRecorder
from figspread.load.report import Report
from figspread.load.results import CallResult, OutcomeName, Verdict

SendCall: TypeAlias = Callable[[Arrival, float], CallResult]

# Interval of checks for an interruption while requests finish, and then the
# time that they get to finish after it.
STOP_TIMEOUT_S: Final = 0.5

_NOT_STARTED: Final = Verdict(OutcomeName.NOT_RUN, 'interrupted')
_INTERRUPTED: Final = Verdict(OutcomeName.UNKNOWN, 'interrupted')


class LoadRun:
    """Sends a plan's requests through `call` and counts their outcomes.

    Each request gets exactly one outcome. After an interruption, requests may
    still start and finish for `STOP_TIMEOUT_S` to twice that. Requests that
    then still wait for a thread count as not run, requests in flight as
    unknown.
    """

    def __init__(
        self,
        plan: LoadPlan,
        call: SendCall,
        is_stopped: threading.Event,
    ) -> None:
        """Prepare a run that ends with the plan or when `is_stopped` is set."""
        self._plan = plan
        self._call = call
        self._is_stopped = is_stopped
        self._recorder = RunRecorder(plan)
        self._lock = threading.Lock()
        self._unfinished: dict[int, Arrival] = {}
        self._started: set[int] = set()

    def run(self) -> Report:
        """Send all requests, wait for them and return the report."""
        started = time.monotonic()
        pool = ThreadPoolExecutor(self._plan.threads)
        futures = self._submit_all(generate_arrivals(self._plan), pool, started)
        planned = len(futures)
        self._wait_for_calls(futures)
        is_partial = self._is_stopped.is_set()
        pool.shutdown(wait=False, cancel_futures=True)
        self._record_unfinished()
        return self._recorder.summarize(
            planned=planned,
            elapsed_s=time.monotonic() - started,
            is_partial=is_partial,
        )

    def _submit_all(
        self,
        arrivals: Iterable[Arrival],
        pool: ThreadPoolExecutor,
        started: float,
    ) -> list[Future[None]]:
        futures: list[Future[None]] = []
        for number, arrival in enumerate(arrivals):
            planned_at = started + arrival.at_s
            if self._is_stopped.wait(max(0, planned_at - time.monotonic())):
                break
            with self._lock:
                self._unfinished[number] = arrival
            futures.append(pool.submit(self._send, number, arrival, planned_at))
        return futures

    def _send(self, number: int, arrival: Arrival, planned_at: float) -> None:
        with self._lock:
            if number not in self._unfinished:
                return
            self._started.add(number)
        result = self._call(arrival, planned_at)
        with self._lock:
            is_unfinished = self._unfinished.pop(number, None) is not None
            self._started.discard(number)
        if is_unfinished:
            self._recorder.add(result)

    def _wait_for_calls(self, futures: list[Future[None]]) -> None:
        pending = set(futures)
        while pending and not self._is_stopped.is_set():
            _, pending = wait(pending, timeout=STOP_TIMEOUT_S)
        wait(pending, timeout=STOP_TIMEOUT_S)

    def _record_unfinished(self) -> None:
        with self._lock:
            pending = tuple(self._unfinished.items())
            self._unfinished.clear()
            started = frozenset(self._started)
        for number, arrival in pending:
            verdict = _INTERRUPTED if number in started else _NOT_STARTED
            self._recorder.add(_make_unfinished_result(arrival, verdict))


def _make_unfinished_result(arrival: Arrival, verdict: Verdict) -> CallResult:
    match arrival:
        case PromptCall():
            return CallResult(
                arrival.workspace,
                arrival.length,
                verdict,
                prompt_tokens=arrival.prompt_tokens,
            )
        case ServiceCall():
            return CallResult(
                arrival.workspace,
                None,
                verdict,
                service=arrival.service.name,
            )
