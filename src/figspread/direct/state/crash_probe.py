"""Finds out at once whether an upstream whose connection broke has crashed."""

import asyncio
from collections.abc import Callable
from typing import Final

from figspread.direct.model import Upstream
from figspread.direct.state.crashes import CrashTracker
from figspread.http1.client import Unreachable, open_connection
from figspread.ids import UpstreamId

# A host that is up refuses or accepts a connection within milliseconds.
PROBE_TIMEOUT_S: Final = 1.0


class CrashProbe:
    """Opens a connection to an upstream and reports a refusal as a crash.

    Without it a crash would be recognized when the upstream's record expires,
    some seconds later.
    """

    def __init__(self, crashes: CrashTracker) -> None:
        """Report crashes to `crashes`."""
        self._crashes = crashes
        self._tasks: dict[tuple[UpstreamId, int], asyncio.Task[None]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def start(self, upstream: Upstream) -> None:
        """Probe an upstream, unless a probe of this start of it runs."""
        run = (upstream.upstream, upstream.started_ms)
        if run not in self._tasks:
            task = asyncio.create_task(self._probe(upstream, None))
            self._tasks[run] = task
            task.add_done_callback(lambda _: self._tasks.pop(run, None))

    def check_alive(
        self, upstream: Upstream, handle_alive: Callable[[], None]
    ) -> None:
        """Call `handle_alive` if the upstream accepts a connection now."""
        task = asyncio.create_task(self._probe(upstream, handle_alive))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _probe(
        self, upstream: Upstream, handle_alive: Callable[[], None] | None
    ) -> None:
        try:
            conn = await open_connection(
                upstream.address, timeout_s=PROBE_TIMEOUT_S
            )
        except Unreachable as exc:
            # No answer at all may as well mean that the network is cut.
            if exc.is_refused:
                self._crashes.record_crash(upstream.upstream)
            return
        conn.close('only probed')
        if handle_alive is not None:
            handle_alive()
