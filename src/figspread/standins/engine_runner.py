"""Runs a stand-in engine's model of time and hands out its tokens."""

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
from figspread.standins.engine_memory import KvMemory, name_handle
from figspread.standins.engine_report import LaggingReport, PrefillCounts
from figspread.standins.engine_requests import Progress, Refusal, RunRequest
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_time import EngineModel
from figspread.standins.faults import EngineFaults, FaultSwitches
from figspread.upstream.types import CacheEvent, EngineReport, KvHolding

_MS_IN_S: Final = 1000
_IDLE_WAIT_S: Final = 1.0

# `None` says that the request was cancelled or the engine stopped.
Stream: TypeAlias = 'queue.SimpleQueue[Progress | None]'


@dataclass
class _Reader:
    stream: Stream
    prefixes: Sequence[str]
    record: KvRecord
    is_prefilled: bool = False


class EngineRunner:
    """The engine's state under one lock, and the thread that moves it on."""

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock,
        list_models: Callable[[], tuple[str, ...]],
    ) -> None:
        """Start idle with a new boot id; nothing moves before `start`."""
        self.boot_id = uuid.uuid4().hex
        self.memory = KvMemory(settings.kv_limit_tokens)
        self.faults = FaultSwitches(EngineFaults())
        self.is_stopped = threading.Event()
        self.lock = threading.Condition()
        self._settings = settings
        self._clock = clock
        self._list_models = list_models
        self._records: dict[str, KvRecord] = {}
        self._model = EngineModel(settings, self.memory, self._slowness)
        self._cache = PrefixCache(settings)
        self._report = LaggingReport(settings.report_lag_s, self._read_load)
        self._readers: dict[str, _Reader] = {}
        self._prefills = PrefillCounts()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and all streams."""
        with self.lock:
            self.is_stopped.set()
            for reader in self._readers.values():
                reader.stream.put(None)
            self._readers.clear()
            self.lock.notify_all()
        self._thread.join()

    def submit(
        self,
        asked: RunRequest,
        prefixes: Sequence[str],
        record: KvRecord,
    ) -> Result[Stream, Refusal]:
        """Take a request; its tokens come in the returned stream.

        `record` is what its KV cache would be known by after an export.
        """
        with self.lock:
            now = self._advance()
            if self.is_stopped.is_set():
                return Err(Refusal(503, 'the engine has stopped'))
            cached = self._cache.count_cached(prefixes)
            asked = msgspec.structs.replace(asked, cached_tokens=cached)
            taken = self._model.submit(now, asked)
            if not isinstance(taken, Ok):
                return taken
            stream: Stream = queue.SimpleQueue()
            self._readers[asked.attempt] = _Reader(stream, prefixes, record)
            self._prefills = self._prefills.add(asked)
            self.lock.notify_all()
            return Ok(stream)

    def cancel(self, attempt: str) -> bool:
        """Drop a request; tell whether it was there."""
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
            reader = self._readers.pop(attempt, None)
            if reader:
                reader.stream.put(None)
            return self._model.cancel(attempt)

    def export_kv(self, attempt: str) -> Result[str, Refusal]:
        """Keep the KV cache of a prefilled request under a handle."""
        handle = name_handle(attempt)
        with self.lock:
            self._advance()
            if handle in self._records:
                return Ok(handle)
            reader = self._readers.get(attempt)
            if reader is None:
                return Err(Refusal(404, 'no such request'))
            if not reader.is_prefilled:
                return Err(Refusal(409, 'the prefill is not finished'))
            return self._keep(reader.record).map(lambda _: handle)

    def keep_kv(self, record: KvRecord) -> Result[None, Refusal]:
        """Take memory for an imported KV cache; once for each handle."""
        with self.lock:
            self._advance()
            if record.handle in self._records:
                return Ok(None)
            return self._keep(record)

    def find_kv(self, handle: str) -> KvRecord | None:
        """Return the record of a handle that is held here."""
        with self.lock:
            self._advance()
            return self._records.get(handle)

    def free_kv(self, handle: str) -> bool:
        """Free a handle; tell whether it was there."""
        with self.lock:
            self._advance()
            if self._records.pop(handle, None) is None:
                return False
            return self.memory.free(handle)

    def list_holdings(self) -> Sequence[KvHolding]:
        """List everything that takes memory now."""
        with self.lock:
            self._advance()
            return self.memory.holdings()

    def list_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events after number `after`."""
        with self.lock:
            return self._cache.list_events(self._advance(), after)

    def show_prefills(self) -> PrefillCounts:
        """Return what prompts were taken so far, without a lag."""
        with self.lock:
            return self._prefills

    def report(self) -> EngineReport:
        """Return the lagging report."""
        with self.lock:
            age_s, report = self._report.get(self._advance())
        age_ms = int(age_s / self._settings.time_scale * _MS_IN_S)
        return msgspec.structs.replace(report, age_ms=age_ms)

    def _run(self) -> None:
        with self.lock:
            while not self.is_stopped.is_set():
                now = self._advance()
                end = self._model.next_end()
                wait_s = _IDLE_WAIT_S
                if end is not None:
                    wait_s = (end - now) / self._settings.time_scale
                self.lock.wait(wait_s)

    def _advance(self) -> float:
        now = self._clock.now() * self._settings.time_scale
        self._deliver(now, self._model.advance(now))
        self._report.note(now)
        return now

    def _deliver(self, now: float, made: Iterable[Progress]) -> None:
        for progress in made:
            reader = self._readers.get(progress.attempt)
            if reader is None:
                continue
            reader.stream.put(progress)
            if not reader.is_prefilled:
                reader.is_prefilled = True
                self._cache.add(now, reader.prefixes)
            if progress.index < 0:
                self._records[reader.record.handle] = reader.record
            if progress.is_last:
                self._readers.pop(progress.attempt)

    def _keep(self, record: KvRecord) -> Result[None, Refusal]:
        if not self.memory.take(record.handle, record.tokens, is_handle=True):
            return Err(Refusal(503, 'the KV memory is full', 1))
        self._records[record.handle] = record
        return Ok(None)

    def _read_load(self) -> EngineReport:
        pace = self._settings.prefill_tokens_per_s * self._settings.time_scale
        return EngineReport(
            running=self._model.running(),
            prefill_tokens=self._model.prefill_tokens(),
            decode_tokens=self._model.decode_tokens(),
            kv_used_tokens=self.memory.used_tokens,
            kv_limit_tokens=self.memory.limit_tokens,
            prefill_tokens_per_s=pace,
            models=tuple(ModelName(name) for name in self._list_models()),
            boot_id=self.boot_id,
        )

    def _slowness(self) -> float:
        return self.faults.current.slow_factor
