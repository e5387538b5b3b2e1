"""Memory that is set aside at helpers for prompts larger than an engine.

All of it is got before the request is sent, or none. It is held for a few
seconds at a time and renewed while the request runs, so that what an entry
held when it died is free soon after. An order whose answer was lost may be
carried out seconds later, so its ticket is released again until that can no
longer happen.
"""

import asyncio
import itertools
from typing import Final, TypeAlias

from figspread.direct.model import Upstream
from figspread.direct.parts import Parts
from figspread.direct.wire import Order
from figspread.http1.client import Broken, Unreachable
from figspread.http1.pool import exchange

# Below the platform's bound of 4 s for memory that nobody uses any more.
HOLD_S: Final = 3.5
# Two renewals may fail before the hold is over.
RENEW_S: Final = 1.1
ORDER_TIMEOUT_S: Final = 1.0
REPLY_LIMIT_BYTES: Final = 65_536
# An unanswered order is carried out within twelve seconds or never.
LATE_ORDER_S: Final = 13.0
RELEASE_AGAIN_S: Final = 1.5
_OK: Final = 200

Held: TypeAlias = tuple[Upstream, Order]


class Tickets:
    """Sets memory aside at engines and gives it back."""

    def __init__(self, parts: Parts) -> None:
        """Order through the entry's connections."""
        self._parts = parts
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        engines: list[tuple[Upstream, int]],
    ) -> list[Held] | None:
        """Return a ticket at each engine for its tokens, or `None`."""
        held = [
            (engine, Order(self._new_ticket(), tokens, HOLD_S))
            for engine, tokens in engines
        ]
        try:
            got = await asyncio.gather(
                *(self._order(engine, order) for engine, order in held),
            )
        except BaseException:
            self.release(held)
            raise
        if all(got):
            return held
        self.release(held)
        return None

    async def renew(self, held: list[Held]) -> None:
        """Renew the holds for ever; cancel it when the request has ended."""
        while True:
            await asyncio.sleep(RENEW_S)
            await asyncio.gather(
                *(self._order(engine, order) for engine, order in held),
            )

    def release(self, held: list[Held]) -> None:
        """Give tickets back, in the background."""
        for engine, order in held:
            task = asyncio.create_task(self._release(engine, order.ticket))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait until everything under way has been given back."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _release(self, engine: Upstream, ticket: str) -> None:
        clock = self._parts.clock
        ends = clock.now() + LATE_ORDER_S
        while not await self._order(engine, Order(ticket)):
            if clock.now() > ends:
                return
            await asyncio.sleep(RELEASE_AGAIN_S)

    async def _order(self, engine: Upstream, order: Order) -> bool:
        status, detail = await self._send(engine, order)
        self._parts.log.info(
            'memory reserved' if order.tokens else 'memory released',
            upstream=engine.upstream,
            ticket=order.ticket,
            tokens=order.tokens,
            hold_s=order.hold_s,
            status=status,
            detail=detail,
        )
        return status == _OK

    async def _send(self, engine: Upstream, order: Order) -> tuple[int, str]:
        try:
            status, _ = await exchange(
                self._parts.pool,
                engine.address,
                self._parts.wire.encode_order(engine, order),
                timeout_s=ORDER_TIMEOUT_S,
                limit_bytes=REPLY_LIMIT_BYTES,
            )
        except (Broken, Unreachable, TimeoutError) as exc:
            return 0, str(exc) or 'no answer in time'
        return status, ''

    def _new_ticket(self) -> str:
        return '{0}.t{1}'.format(self._parts.entry, next(self._numbers))
