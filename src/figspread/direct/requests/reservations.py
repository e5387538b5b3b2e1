"""Reserves memory at helpers for prompts that exceed one engine's memory.

Memory at all helpers is reserved before the request is sent, or at none.
Reservations last a few seconds and are renewed while the request runs, so
those of an entry that died expire soon after. An order whose response was lost
may still be executed seconds later, so its ticket is released repeatedly until
that can no longer happen.
"""

import asyncio
import itertools
from typing import Final, TypeAlias

from figspread.direct.adapter import ReservationOrder
from figspread.direct.components import EntryComponents
from figspread.direct.model import Upstream
from figspread.http1.answers import ExchangeError
from figspread.http1.client import Unreachable
from figspread.http1.pool import exchange_once

# Less than the 4 s for which the platform lets unused memory stay reserved.
RESERVATION_TTL_S: Final = 3.5
# Two renewals may fail before a reservation expires.
RENEW_INTERVAL_S: Final = 1.1
ORDER_TIMEOUT_S: Final = 1.0
REPLY_LIMIT_BYTES: Final = 65_536
# How long a release without a confirmation is repeated: an order that got no
# response is executed within 12 s or never.
RELEASE_RETRY_LIMIT_S: Final = 13.0
RELEASE_RETRY_INTERVAL_S: Final = 1.5
_STATUS_OK: Final = 200

# An engine, and the order that reserved memory there.
Reservation: TypeAlias = tuple[Upstream, ReservationOrder]


class MemoryReservations:
    """Reserves memory at engines, renews and releases it."""

    def __init__(self, components: EntryComponents) -> None:
        """Send orders over the entry's connection pool."""
        self._components = components
        self._ticket_numbers = itertools.count()
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self,
        engines: list[tuple[Upstream, int]],
    ) -> list[Reservation] | None:
        """Reserve the given number of tokens at each engine.

        Returns `None`, with everything released, if any of them fails.
        """
        reservations = [
            (
                engine,
                ReservationOrder(
                    self._make_ticket(), tokens, RESERVATION_TTL_S
                ),
            )
            for engine, tokens in engines
        ]
        try:
            confirmed = await asyncio.gather(
                *(
                    self._send_order(engine, order)
                    for engine, order in reservations
                ),
            )
        except BaseException:
            self.release(reservations)
            raise
        if all(confirmed):
            return reservations
        self.release(reservations)
        return None

    async def renew(self, reservations: list[Reservation]) -> None:
        """Renew reservations until cancelled, when the request has ended."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await asyncio.gather(
                *(
                    self._send_order(engine, order)
                    for engine, order in reservations
                ),
            )

    def release(self, reservations: list[Reservation]) -> None:
        """Release reservations in the background."""
        for engine, order in reservations:
            task = asyncio.create_task(
                self._release_until_confirmed(engine, order.ticket)
            )
            self._release_tasks.add(task)
            task.add_done_callback(self._release_tasks.discard)

    async def wait_for_releases(self) -> None:
        """Wait until all releases in progress have ended."""
        await asyncio.gather(*self._release_tasks, return_exceptions=True)

    async def _release_until_confirmed(
        self, engine: Upstream, ticket: str
    ) -> None:
        clock = self._components.clock
        deadline_s = clock.now() + RELEASE_RETRY_LIMIT_S
        while not await self._send_order(engine, ReservationOrder(ticket)):
            if clock.now() > deadline_s:
                return
            await asyncio.sleep(RELEASE_RETRY_INTERVAL_S)

    async def _send_order(
        self, engine: Upstream, order: ReservationOrder
    ) -> bool:
        status, detail = await self._exchange_order(engine, order)
        self._components.log.info(
            'memory reserved' if order.tokens else 'memory released',
            upstream=engine.upstream,
            ticket=order.ticket,
            tokens=order.tokens,
            hold_s=order.hold_s,
            status=status,
            detail=detail,
        )
        return status == _STATUS_OK

    async def _exchange_order(
        self, engine: Upstream, order: ReservationOrder
    ) -> tuple[int, str]:
        try:
            head, _ = await exchange_once(
                self._components.pool,
                engine.address,
                self._components.codec.encode_reservation(engine, order),
                timeout_s=ORDER_TIMEOUT_S,
                limit_bytes=REPLY_LIMIT_BYTES,
                # Answers to orders have no id that tells copies apart.
                is_fresh=True,
            )
        except (ExchangeError, Unreachable, TimeoutError) as exc:
            return 0, str(exc) or 'no answer in time'
        return head.status, ''

    def _make_ticket(self) -> str:
        return '{0}.t{1}'.format(
            self._components.entry, next(self._ticket_numbers)
        )
