"""Sends all calls of a fault case, with one thread for each caller."""

import threading
import time
from collections.abc import Sequence
from typing import Final

from bench.faults.caller import Caller, CallRecord
from bench.faults.calls import Call

START_TIMEOUT_S: Final = 20
JOIN_TIMEOUT_S: Final = 60


class LoadGenerator:
    """Sends calls to the entries at `ports`, from `start` to `join`."""

    def __init__(self, calls: Sequence[Call], ports: Sequence[int]) -> None:
        """Prepare a thread for each call."""
        self._changed = threading.Condition()
        self._started_count = 0
        self._finished_count = 0
        self._records: list[CallRecord] = []
        self._threads = [
            threading.Thread(
                target=self._run_call, args=(call, ports), daemon=True
            )
            for call in calls
        ]

    def start(self) -> None:
        """Start all threads; each sends its call after its start delay."""
        for thread in self._threads:
            thread.start()

    def wait_until_started(self, count: int) -> None:
        """Wait until `count` calls have started, at most `START_TIMEOUT_S`."""
        with self._changed:
            assert self._changed.wait_for(
                lambda: self._started_count >= count,
                START_TIMEOUT_S,
            )

    def join(self) -> Sequence[CallRecord]:
        """Return the records of all calls, after at most `JOIN_TIMEOUT_S`."""
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        for thread in self._threads:
            thread.join(max(0, deadline - time.monotonic()))
        with self._changed:
            assert self._finished_count == len(self._threads), (
                'a caller did not finish in time'
            )
            return tuple(self._records)

    def _run_call(self, call: Call, ports: Sequence[int]) -> None:
        pause = threading.Event()
        pause.wait(call.start_delay_s)
        with self._changed:
            self._started_count += 1
            self._changed.notify_all()
        caller = Caller(call, ports)
        while caller.may_continue():
            pause.wait(caller.retry_delay_s())
            caller.send_attempt()
        caller.resend_answered_key()
        with self._changed:
            self._finished_count += 1
            self._records.append(CallRecord(call, tuple(caller.attempts)))
