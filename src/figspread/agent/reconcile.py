"""Frees requests and KV handles on an engine that nothing owns."""

import asyncio
import functools
from collections.abc import Callable
from concurrent.futures import Executor
from contextlib import suppress
from typing import Final, ParamSpec, TypeVar

from result import Err, Result

from figspread.agent.registry import AttemptRegistry
from figspread.agent.spans import SpanReservations
from figspread.ids import AttemptId
from figspread.inner.messages import Submit
from figspread.upstream.types import Engine, KvHolding, UpstreamFault

# The interval while the engine still lists unowned holdings.
RETRY_INTERVAL_S: Final = 0.25

_Made = TypeVar('_Made')
_Args = ParamSpec('_Args')


class Reconciler:
    """Compares the engine's holdings with the agent's attempts and spans.

    A holding is the KV cache memory of a request or of a KV handle, which is
    KV cache that the engine exported for a span.

    An attempt is registered before its call is sent, so a holding that isn't
    registered has no owner: its caller disconnected, its entry or an earlier
    agent process died, or a cancellation was lost.
    """

    def __init__(
        self,
        engine: Engine,
        executor: Executor,
        *,
        registry: AttemptRegistry,
        spans: SpanReservations,
        interval_s: float,
    ) -> None:
        """Reconcile every `interval_s` seconds, and at once when triggered."""
        self._engine = engine
        self._executor = executor
        self._registry = registry
        self._spans = spans
        self._interval_s = interval_s
        self._pending_cancels: set[AttemptId] = set()
        self._triggered = asyncio.Event()

    def cancel_until_gone(self, submit: Submit) -> None:
        """Cancel an attempt, repeatedly until the engine no longer lists it."""
        self._pending_cancels.add(submit.attempt)
        self._triggered.set()

    def trigger(self) -> None:
        """Reconcile now instead of after the interval."""
        self._triggered.set()

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            self._triggered.clear()
            unowned_count = await self.reconcile()
            wait_s = RETRY_INTERVAL_S if unowned_count else self._interval_s
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._triggered.wait()

    async def reconcile(self) -> int:
        """Free all unowned holdings; return how many the engine listed.

        If the listing fails, all attempts that wait for their cancellation
        count as still listed.
        """
        pending_cancels = frozenset(self._pending_cancels)
        for attempt in pending_cancels:
            await self._run_in_executor(self._engine.cancel, attempt)
        listed = await self._run_in_executor(self._engine.list_holdings)
        if isinstance(listed, Err):
            return len(pending_cancels)
        holdings = listed.ok_value
        names = {holding.name for holding in holdings}
        self._pending_cancels -= {
            pending for pending in pending_cancels if pending not in names
        }
        unowned = [held for held in holdings if not self._is_owned(held)]
        for holding in unowned:
            await self._free_holding(holding)
        return len(unowned)

    def _is_owned(self, holding: KvHolding) -> bool:
        if holding.is_handle:
            return self._spans.owns_handle(holding.name)
        name = AttemptId(holding.name)
        attempt = self._registry.get(name)
        return attempt is not None and name not in self._pending_cancels

    async def _free_holding(self, holding: KvHolding) -> None:
        if holding.is_handle:
            await self._run_in_executor(self._engine.free_kv, holding.name)
        else:
            await self._run_in_executor(
                self._engine.cancel, AttemptId(holding.name)
            )

    async def _run_in_executor(
        self,
        call: Callable[_Args, Result[_Made, UpstreamFault]],
        *args: _Args.args,
        **kwargs: _Args.kwargs,
    ) -> Result[_Made, UpstreamFault]:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor,
            functools.partial(call, *args, **kwargs),
        )
