"""Lets a request with helpers wait until earlier prefills there are done.

An engine prefills the newest part that it helps with first, before everything
else. A part that is sent while others are in prefill there would delay them by
its whole length, and the next part would delay this one.
"""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from figspread.direct.state.placements import PlacementRegistry
from figspread.ids import PlacementId


class PrefillTurns:
    """Waits for the end of prefills; `notify` is called when one may be over."""

    def __init__(self, placements: PlacementRegistry) -> None:
        """Wait for placements of this registry."""
        self._placements = placements
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Let all waits check their placements again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(
        self,
        names: Iterable[PlacementId],
        timeout_s: float,
        is_in_vain: Callable[[], bool] = bool,
    ) -> None:
        """Return when none of `names` is in prefill, or after `timeout_s`.

        Also return when `is_in_vain` holds at a `notify`.
        """
        waiting_for = set(names)
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not is_in_vain() and any(
                    map(self._placements.is_prefilling, waiting_for)
                ):
                    await self._changed.wait()
