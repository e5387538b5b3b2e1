"""Monitors an engine: reads its load report and detects its death."""

import asyncio
from concurrent.futures import Executor
from typing import Final, Protocol

import msgspec
from result import Err, Ok

from figspread.clock import Clock
from figspread.inner.heartbeat import Sleep
from figspread.inner.messages import Load
from figspread.upstream.types import (
    Engine,
    EngineReport,
    UpstreamFault,
    UpstreamFaultKind,
)

PROBE_INTERVAL_S: Final = 0.25
# A dying engine accepts connections for a moment longer, so a check that
# breaks off proves nothing and is repeated.
MAX_DEATH_CHECKS: Final = 5
DEATH_CHECK_INTERVAL_S: Final = 0.05
_MS_PER_S: Final = 1000


class OnStatusChange(Protocol):
    """Callback for the death and the return of an engine."""

    def __call__(self, *, is_down: bool, has_died: bool) -> None:
        """Handle a change of the engine's status.

        `has_died` is true once for each death, also if the engine has been
        restarted already and is not down.
        """


class Probe:
    """Reads the engine's report periodically and on request.

    The engine counts as dead if its boot id has changed, if two checks in a
    row couldn't connect, or if one couldn't after an answer broke off. Each
    death and each return is reported once.
    """

    def __init__(
        self,
        engine: Engine,
        executor: Executor,
        clock: Clock,
        *,
        on_status_change: OnStatusChange,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        """Treat the engine as alive, without a report, until the first check."""
        self._engine = engine
        self._executor = executor
        self._clock = clock
        self._on_status_change = on_status_change
        self._sleep = sleep
        self._lock = asyncio.Lock()
        self._check_count = 0
        self._failed_checks = 0
        self._boot_id = ''
        self._report: EngineReport | None = None
        self._report_at = clock.now()
        self._is_down = False

    async def run(self) -> None:
        """Check every `PROBE_INTERVAL_S` seconds until cancelled."""
        while True:
            async with self._lock:
                await self._check_once(is_death_suspected=False)
            await self._sleep(PROBE_INTERVAL_S)

    async def check_now(self) -> None:
        """Wait for a check that began after this call; make one if needed."""
        count_before = self._check_count
        async with self._lock:
            if self._check_count == count_before:
                await self._check_until_conclusive()

    def merge_report(self, agent_load: Load) -> Load:
        """Return the agent's load with the engine's report merged in.

        The report's prefill and decode token counts are ignored: they lag,
        and the agent knows all that runs on the engine.
        """
        report = self._report
        if report is None:
            return agent_load
        age_s = self._clock.now() - self._report_at
        return msgspec.structs.replace(
            agent_load,
            free_kv_tokens=max(
                0, min(agent_load.free_kv_tokens, _free_kv_tokens(report))
            ),
            prefill_tokens_per_s=report.prefill_tokens_per_s,
            age_ms=report.age_ms + int(age_s * _MS_PER_S),
            models=report.models,
        )

    async def _check_until_conclusive(self) -> None:
        for _ in range(MAX_DEATH_CHECKS):
            if await self._check_once(is_death_suspected=True):
                return
            await self._sleep(DEATH_CHECK_INTERVAL_S)

    async def _check_once(self, *, is_death_suspected: bool) -> bool:
        """Request one report; return whether the result was conclusive."""
        self._check_count += 1
        loop = asyncio.get_running_loop()
        match await loop.run_in_executor(self._executor, self._engine.report):
            case Ok(report):
                self._apply_report(report)
            case Err(UpstreamFault(kind=UpstreamFaultKind.NOT_SENT)):
                self._record_failed_check(is_conclusive=is_death_suspected)
            case Err(UpstreamFault(kind=UpstreamFaultKind.BROKEN)):
                return False
        return True

    def _apply_report(self, report: EngineReport) -> None:
        has_rebooted = self._boot_id not in {'', report.boot_id}
        was_down = self._is_down
        self._failed_checks = 0
        self._is_down = False
        self._boot_id = report.boot_id
        self._report = report
        self._report_at = self._clock.now()
        if has_rebooted or was_down:
            self._on_status_change(
                is_down=False,
                has_died=has_rebooted and not was_down,
            )

    def _record_failed_check(self, *, is_conclusive: bool) -> None:
        self._failed_checks += 1
        if self._is_down or not (is_conclusive or self._failed_checks > 1):
            return
        self._is_down = True
        self._on_status_change(is_down=True, has_died=True)


def _free_kv_tokens(report: EngineReport) -> int:
    return report.kv_limit_tokens - report.kv_used_tokens
