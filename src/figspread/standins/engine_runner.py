"""Runs the simulation of a stand-in engine and delivers its tokens."""

import queue
import threading
import uuid
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.ids import ModelName
from figspread.standins.engine_cache import PrefixCache
from figspread.standins.engine_kv import KvRecord
from figspread.standins.engine_memory import KvMemory, make_handle
from figspread.standins.engine_report import LaggingReport, PrefillCounts
from figspread.standins.engine_requests import Progress, Refusal, RunRequest
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_simulation import EngineSimulation
from figspread.standins.faults import EngineFaults, FaultSwitches
from figspread.upstream.types import CacheEvent, EngineReport, KvHolding

_MS_PER_S: Final = 1000
_IDLE_WAIT_S: Final = 1.0

# `None` ends it when the request is cancelled or the engine stops.
Stream: TypeAlias = 'queue.SimpleQueue[Progress | None]'


@dataclass
class _Subscriber:
    stream: Stream
    prefixes: Sequence[str]
    record: KvRecord
    is_prefilled: bool = False


class EngineRunner:
    """Owns the engine's state, under one lock, and the thread that advances it.

    Times within are seconds of the engine's clock, which runs `time_scale`
    times as fast as the machine's.
    """

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock,
        list_models: Callable[[], tuple[str, ...]],
    ) -> None:
        """Prepare an idle engine with a new boot id."""
        self.boot_id = uuid.uuid4().hex
        self.memory = KvMemory(settings.kv_limit_tokens)
        self.faults = FaultSwitches(EngineFaults())
        self.is_stopped = threading.Event()
        self.lock = threading.Condition()
        self._settings = settings
        self._clock = clock
        self._list_models = list_models
        self._records: dict[str, KvRecord] = {}
        self._simulation = EngineSimulation(
            settings, self.memory, self._get_slow_factor
        )
        self._cache = PrefixCache(settings)
        self._lagging_report = LaggingReport(
            settings.report_lag_s, self._build_report
        )
        self._subscribers: dict[str, _Subscriber] = {}
        self._prefill_counts = PrefillCounts()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread that advances the simulation."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and all streams."""
        with self.lock:
            self.is_stopped.set()
            for subscriber in self._subscribers.values():
                subscriber.stream.put(None)
            self._subscribers.clear()
            self.lock.notify_all()
        self._thread.join()

    def submit(
        self,
        request: RunRequest,
        prefixes: Sequence[str],
        record: KvRecord,
    ) -> Result[Stream, Refusal]:
        """Accept a request and return the stream of its progress.

        `record` is the record that an export of its KV cache gets.
        """
        with self.lock:
            now = self._advance()
            if self.is_stopped.is_set():
                return Err(Refusal(503, 'the engine has stopped'))
            prefix_tokens = self._cache.count_cached(prefixes)
            request = msgspec.structs.replace(
                request, cached_tokens=prefix_tokens
            )
            submitted = self._simulation.submit(now, request)
            if not isinstance(submitted, Ok):
                return submitted
            stream: Stream = queue.SimpleQueue()
            self._subscribers[request.attempt] = _Subscriber(
                stream, prefixes, record
            )
            self._prefill_counts = self._prefill_counts.add(request)
            self.lock.notify_all()
            return Ok(stream)

    def cancel(self, attempt: str) -> bool:
        """Cancel a request; return whether it was found."""
        with self.lock:
            self._advance()
            faults = self.faults.current
            if faults.ignore_cancels:
                left = faults.ignore_cancels - 1
                self.faults.current = msgspec.structs.replace(
                    faults,
                    ignore_cancels=left,
                )
                return True
            subscriber = self._subscribers.pop(attempt, None)
            if subscriber:
                subscriber.stream.put(None)
            return self._simulation.cancel(attempt)

    def export_kv(self, attempt: str) -> Result[str, Refusal]:
        """Keep the KV cache of a prefilled request; return its handle.

        Refuse with 404 if the request is unknown, 409 if its prefill isn't
        finished and 503 if the memory is full.
        """
        handle = make_handle(attempt)
        with self.lock:
            self._advance()
            if handle in self._records:
                return Ok(handle)
            subscriber = self._subscribers.get(attempt)
            if subscriber is None:
                return Err(Refusal(404, 'no such request'))
            if not subscriber.is_prefilled:
                return Err(Refusal(409, 'the prefill is not finished'))
            return self._store_record(subscriber.record).map(lambda _: handle)

    def import_kv(self, record: KvRecord) -> Result[None, Refusal]:
        """Reserve memory for an imported KV cache, once for each handle."""
        with self.lock:
            self._advance()
            if record.handle in self._records:
                return Ok(None)
            return self._store_record(record)

    def find_kv(self, handle: str) -> KvRecord | None:
        """Return the record of a handle that this engine holds, if it does."""
        with self.lock:
            self._advance()
            return self._records.get(handle)

    def release_kv(self, handle: str) -> bool:
        """Release a handle's memory; return whether the handle was found."""
        with self.lock:
            self._advance()
            if self._records.pop(handle, None) is None:
                return False
            return self.memory.release(handle)

    def list_holdings(self) -> Sequence[KvHolding]:
        """Return all reservations of KV memory."""
        with self.lock:
            self._advance()
            return self.memory.list_reservations()

    def list_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the visible cache events with a number above `after`."""
        with self.lock:
            return self._cache.list_events(self._advance(), after)

    def count_prefills(self) -> PrefillCounts:
        """Return the counts of accepted prompts, without the report's lag."""
        with self.lock:
            return self._prefill_counts

    def report(self) -> EngineReport:
        """Return the lagging load report; its age is in the caller's time."""
        with self.lock:
            age_s, report = self._lagging_report.get(self._advance())
        age_ms = int(age_s / self._settings.time_scale * _MS_PER_S)
        return msgspec.structs.replace(report, age_ms=age_ms)

    def _run(self) -> None:
        with self.lock:
            while not self.is_stopped.is_set():
                now = self._advance()
                step_end = self._simulation.next_step_end()
                wait_s = _IDLE_WAIT_S
                if step_end is not None:
                    wait_s = (step_end - now) / self._settings.time_scale
                self.lock.wait(wait_s)

    def _advance(self) -> float:
        now = self._clock.now() * self._settings.time_scale
        self._deliver(now, self._simulation.advance(now))
        self._lagging_report.take_snapshot(now)
        return now

    def _deliver(self, now: float, progresses: Iterable[Progress]) -> None:
        for progress in progresses:
            subscriber = self._subscribers.get(progress.attempt)
            if subscriber is None:
                continue
            subscriber.stream.put(progress)
            if not subscriber.is_prefilled:
                subscriber.is_prefilled = True
                self._cache.add(now, subscriber.prefixes)
            if progress.index < 0:
                self._records[subscriber.record.handle] = subscriber.record
            if progress.is_last:
                self._subscribers.pop(progress.attempt)

    def _store_record(self, record: KvRecord) -> Result[None, Refusal]:
        if not self.memory.reserve(
            record.handle, record.tokens, is_handle=True
        ):
            return Err(Refusal(503, 'the KV memory is full', 1))
        self._records[record.handle] = record
        return Ok(None)

    def _build_report(self) -> EngineReport:
        prefill_rate = (
            self._settings.prefill_tokens_per_s * self._settings.time_scale
        )
        return EngineReport(
            running=self._simulation.count_running(),
            prefill_tokens=self._simulation.count_prefill_tokens(),
            decode_tokens=self._simulation.count_decode_tokens(),
            kv_used_tokens=self.memory.used_tokens,
            kv_limit_tokens=self.memory.limit_tokens,
            prefill_tokens_per_s=prefill_rate,
            models=tuple(ModelName(name) for name in self._list_models()),
            boot_id=self.boot_id,
        )

    def _get_slow_factor(self) -> float:
        return self.faults.current.slow_factor
