"""Deletes expired records from the store, in one entry at a time.

The entry that does the work holds a lease in the store.
"""

import random
import threading
from collections.abc import Callable
from typing import Final

from figspread.background import FailureReport, print_failure, run_rounds
from figspread.clock import Clock
from figspread.duties.cleanup import (
    CLEANUP_LEASE,
    ClaimCleanUp,
    DocumentCleanUp,
)
from figspread.duties.lease import Held, Lease
from figspread.ids import PeerId
from figspread.platform.types import ObjectStore

ROUND_INTERVAL_S: Final = 3.0
LEASE_RETRY_S: Final = 10.0
STOP_TIMEOUT_S: Final = 5.0


class Housekeeping:
    """Cleans up the store in bounded rounds while it holds the lease.

    Only entries whose `is_needed` returns `True` try to get the lease, so
    that the number of store calls doesn't grow with the fleet. Owned by
    `EntryApp`.
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: PeerId,
        *,
        clock: Clock,
        wall_clock: Callable[[], float],
        rng: random.Random,
        is_needed: Callable[[], bool],
        report_failure: FailureReport = print_failure,
    ) -> None:
        """Prepare the thread; the store isn't called before `start`.

        `wall_clock` returns seconds since the Unix epoch. A round that fails by
        an exception is reported to `report_failure`.
        """
        self._report_failure = report_failure
        self._lease = Lease(store, CLEANUP_LEASE, holder=holder, clock=clock)
        self._claims = ClaimCleanUp(store, self._lease)
        self._documents = DocumentCleanUp(store, self._lease)
        self._wall_clock = wall_clock
        self._rng = rng
        self._is_needed = is_needed
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='housekeeping',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread that runs the rounds."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and release the lease."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)
        self._lease.release()

    def run_round(self) -> float:
        """Run a round if this entry holds the lease.

        Return the seconds until the next call is due.
        """
        if not self._is_needed():
            return self._pick_delay_s(LEASE_RETRY_S)
        if not isinstance(self._lease.renew(), Held):
            return self._pick_delay_s(LEASE_RETRY_S)
        self._claims.run_round(now=self._wall_clock())
        self._documents.run_round()
        return ROUND_INTERVAL_S

    def _run(self) -> None:
        # Spread the first attempts of entries that start together.
        self._stopping.wait(self._pick_delay_s(LEASE_RETRY_S))
        run_rounds(self.run_round, self._report_failure, self._stopping)

    def _pick_delay_s(self, seconds: float) -> float:
        """Return a random duration between half of `seconds` and all."""
        return seconds * (1 + self._rng.random()) / 2
