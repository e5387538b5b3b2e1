"""An open-loop load run: requests are sent at their time, come what may."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Final, TypeAlias

from figspread.load.arrivals import (
    Arrival,
    PromptCall,
    ServiceCall,
    list_arrivals,
)
from figspread.load.plan import LoadPlan
from figspread.load.recorder import RunRecorder
from figspread.load.report import Report
from figspread.load.results import CallResult, OutcomeName, Verdict

Call: TypeAlias = Callable[[Arrival, float], CallResult]

# After an interruption, requests on their way are waited for this long.
STOP_PATIENCE_S: Final = 0.5

_NEVER_SENT: Final = Verdict(OutcomeName.NOT_RUN, 'interrupted')
_CUT_OFF: Final = Verdict(OutcomeName.UNKNOWN, 'interrupted')


class LoadRun:
    """Sends a plan's requests by `call` and counts what becomes of them.

    Each request has one outcome, also when the run is interrupted: what
    waited for a thread was not run, what was on its way is unknown.
    """

    def __init__(
        self,
        plan: LoadPlan,
        call: Call,
        is_stopped: threading.Event,
    ) -> None:
        """Send until the plan's end or until `is_stopped`."""
        self._plan = plan
        self._call = call
        self._is_stopped = is_stopped
        self._recorder = RunRecorder(plan)
        self._lock = threading.Lock()
        self._open: dict[int, Arrival] = {}
        self._started: set[int] = set()

    def run(self) -> Report:
        """Run to the end and return the report."""
        started = time.monotonic()
        pool = ThreadPoolExecutor(self._plan.threads)
        futures = self._send_all(list_arrivals(self._plan), pool, started)
        planned = len(futures)
        self._wait_for(futures)
        is_partial = self._is_stopped.is_set()
        pool.shutdown(wait=False, cancel_futures=True)
        self._settle_open()
        return self._recorder.sum_up(
            planned=planned,
            elapsed_s=time.monotonic() - started,
            is_partial=is_partial,
        )

    def _send_all(
        self,
        arrivals: Iterable[Arrival],
        pool: ThreadPoolExecutor,
        started: float,
    ) -> list[Future[None]]:
        futures: list[Future[None]] = []
        for number, arrival in enumerate(arrivals):
            planned = started + arrival.at_s
            if self._is_stopped.wait(max(0, planned - time.monotonic())):
                break
            with self._lock:
                self._open[number] = arrival
            futures.append(pool.submit(self._send, number, arrival, planned))
        return futures

    def _send(self, number: int, arrival: Arrival, planned: float) -> None:
        with self._lock:
            if number not in self._open:
                return
            self._started.add(number)
        result = self._call(arrival, planned)
        with self._lock:
            is_open = self._open.pop(number, None) is not None
            self._started.discard(number)
        if is_open:
            self._recorder.add(result)

    def _wait_for(self, futures: list[Future[None]]) -> None:
        left = set(futures)
        while left and not self._is_stopped.is_set():
            _, left = wait(left, timeout=STOP_PATIENCE_S)
        wait(left, timeout=STOP_PATIENCE_S)

    def _settle_open(self) -> None:
        with self._lock:
            left = tuple(self._open.items())
            self._open.clear()
            started = frozenset(self._started)
        for number, arrival in left:
            verdict = _CUT_OFF if number in started else _NEVER_SENT
            self._recorder.add(_unfinished(arrival, verdict))


def _unfinished(arrival: Arrival, verdict: Verdict) -> CallResult:
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
