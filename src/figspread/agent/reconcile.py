"""Frees what an engine holds and nobody owns."""

import asyncio
import functools
from collections.abc import Callable
from concurrent.futures import Executor
from contextlib import suppress
from typing import Final, ParamSpec, TypeVar

from result import Err, Result

from figspread.agent.registry import AttemptRegistry
from figspread.agent.spans import Spans
from figspread.ids import AttemptId
from figspread.inner.messages import Submit
from figspread.upstream.types import Engine, Holding, UpstreamFault

REPEAT_S: Final = 0.25

_Made = TypeVar('_Made')
_Args = ParamSpec('_Args')


class Reconciler:
    """Compares the engine's listing with what this agent runs and holds.

    An attempt is in the book before its call is sent, so whatever is listed
    and not in the book belongs to nobody: its caller went away, its entry or
    an earlier agent died, or a cancel was lost.
    """

    def __init__(
        self,
        engine: Engine,
        executor: Executor,
        *,
        registry: AttemptRegistry,
        spans: Spans,
        interval_s: float,
    ) -> None:
        """Compare every `interval_s`, and sooner after `abandon`."""
        self._engine = engine
        self._executor = executor
        self._registry = registry
        self._spans = spans
        self._interval_s = interval_s
        self._abandoned: set[AttemptId] = set()
        self._poked = asyncio.Event()

    def abandon(self, submit: Submit) -> None:
        """Cancel an attempt, again until the listing shows it gone."""
        self._abandoned.add(submit.attempt)
        self._poked.set()

    def poke(self) -> None:
        """Compare now."""
        self._poked.set()

    async def run(self) -> None:
        """Compare until cancelled."""
        while True:
            self._poked.clear()
            left = await self.compare()
            wait_s = REPEAT_S if left else self._interval_s
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._poked.wait()

    async def compare(self) -> int:
        """Free what nobody owns; return how much of it was listed.

        Without a listing all abandoned attempts count as still there.
        """
        abandoned = frozenset(self._abandoned)
        for attempt in abandoned:
            await self._call(self._engine.cancel, attempt)
        listed = await self._call(self._engine.list_holdings)
        if isinstance(listed, Err):
            return len(abandoned)
        holdings = listed.ok_value
        names = {holding.name for holding in holdings}
        self._abandoned -= {one for one in abandoned if one not in names}
        unowned = [one for one in holdings if not self._is_owned(one)]
        for holding in unowned:
            await self._free(holding)
        return len(unowned)

    def _is_owned(self, holding: Holding) -> bool:
        if holding.is_handle:
            return self._spans.owns(holding.name)
        name = AttemptId(holding.name)
        attempt = self._registry.get(name)
        return attempt is not None and name not in self._abandoned

    async def _free(self, holding: Holding) -> None:
        if holding.is_handle:
            await self._call(self._engine.free_kv, holding.name)
        else:
            await self._call(self._engine.cancel, AttemptId(holding.name))

    async def _call(
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
