"""Keeps the tasks running that a process can't serve without."""

import asyncio
import threading
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from functools import partial
from typing import Any, Final, TypeAlias

from figspread.clock import Clock
from figspread.telemetry.instruments import InstrumentKind, InstrumentSpec
from figspread.telemetry.logs import Log
from figspread.telemetry.metrics import Metrics

# Pause before a task that has ended runs again; it doubles up to the largest. A
# task that has run for longer than the largest pause begins with the first one.
RESTART_FIRST_S: Final = 0.1
RESTART_MAX_S: Final = 2.0
# Characters of an exception that are logged, and of its trace, whose last frames
# say most.
_REASON_LIMIT: Final = 300
_TRACE_LIMIT: Final = 3000
_FRAME_LIMIT: Final = -8
_ENDED: Final = RuntimeError('a task that must not end has ended')

TaskFunction: TypeAlias = Callable[[], Awaitable[None]]
FailureReport: TypeAlias = Callable[[BaseException], None]
# Writes to standard error, for programs without a log.
print_failure: Final[FailureReport] = traceback.print_exception


class TaskFaults:
    """Logs and counts the exceptions that tasks and callbacks didn't handle."""

    def __init__(self, log: Log, metrics: Metrics) -> None:
        """Create the counter."""
        self._log = log
        self._counter = metrics.make_instrument(
            InstrumentSpec(
                InstrumentKind.COUNTER,
                'figspread_task_failures',
                'Ends of background tasks and callbacks by an exception.',
            )
        )

    def report(self, task: str, exc: BaseException) -> None:
        """Report that `exc` has ended `task`."""
        self._counter.record(1, task=task)
        trace = ''.join(traceback.format_exception(exc, limit=_FRAME_LIMIT))
        self._log.error(
            'background task failed',
            task=task,
            why=repr(exc)[:_REASON_LIMIT],
            error=trace[-_TRACE_LIMIT:],
        )

    def handle_loop_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report what a callback of the event loop has raised."""
        exc = context.get('exception')
        self.report('callback', exc or RuntimeError(context.get('message')))


class BackgroundTasks:
    """Tasks that run beside the requests, until they are cancelled."""

    def __init__(self, clock: Clock, faults: TaskFaults) -> None:
        """Report the ends of tasks to `faults`."""
        self._clock = clock
        self.faults = faults
        self._tasks: set[asyncio.Task[None]] = set()

    def keep_running(self, name: str, run: TaskFunction) -> asyncio.Task[None]:
        """Run a task that must not end, and run it again whenever it has."""
        return self.start(
            run_again(run, partial(self.faults.report, name), self._clock)
        )

    def run_to_end(self, name: str, run: TaskFunction) -> asyncio.Task[None]:
        """Run a task, and run it again until it ends without an exception."""
        return self.start(
            run_again(
                run,
                partial(self.faults.report, name),
                self._clock,
                is_endless=False,
            )
        )

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run `work` once; an exception is reported."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks but the current one."""
        for task in tuple(self._tasks):
            if task is not asyncio.current_task():
                task.cancel()

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            self.faults.report('once', exc)


async def run_again(
    run: TaskFunction,
    report: FailureReport,
    clock: Clock,
    *,
    is_endless: bool = True,
) -> None:
    """Call `run` again, after a pause, each time that it ends.

    Unless it `is_endless`, its first end without an exception is the last one.
    """
    pause_s = RESTART_FIRST_S
    while True:
        started_s = clock.now()
        failure = await _run_once(run)
        if failure is None and not is_endless:
            return
        if clock.now() - started_s > RESTART_MAX_S:
            pause_s = RESTART_FIRST_S
        # A failure to report it must not end the task either.
        with suppress(Exception):
            report(failure or _ENDED)
        await asyncio.sleep(pause_s)
        pause_s = min(RESTART_MAX_S, pause_s * 2)


def run_rounds(
    run_round: Callable[[], float],
    report: FailureReport,
    stopping: threading.Event,
) -> None:
    """Call `run_round` in a thread until `stopping` is set.

    It returns the seconds to the next round; after an exception these are
    `RESTART_MAX_S`.
    """
    while not stopping.is_set():
        pause_s = RESTART_MAX_S
        try:
            pause_s = run_round()
        except Exception as exc:
            with suppress(Exception):
                report(exc)
        stopping.wait(pause_s)


async def _run_once(run: TaskFunction) -> BaseException | None:
    """Return the exception that ends `run`, unless this task is cancelled."""
    try:
        await run()
    except asyncio.CancelledError as exc:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        # Something that `run` waited for was cancelled, not this task.
        return exc
    except Exception as exc:
        return exc
    return None
