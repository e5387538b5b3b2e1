"""Distribution of the newest configuration from the store to processes."""

import math
import random
import threading
from collections.abc import Callable, Iterable
from typing import Final

import xxhash
from result import Err, Ok, Result

from figspread.background import FailureReport, print_failure, run_rounds
from figspread.config.holder import FleetHolder
from figspread.duties.head import DOCUMENT_KIND, HEAD_KIND, Head, read_head
from figspread.ids import PeerId
from figspread.platform.types import Changes, ObjectStore, Unavailable

# Processes that watch the store; the others get the configuration from peers.
WATCHERS_PER_DATA_CENTRE: Final = 2
WATCH_WAIT_S: Final = 2.0
# Time between rounds of a process that need not watch.
IDLE_INTERVAL_S: Final = 1.0
STOP_TIMEOUT_S: Final = 5.0
BACKOFF_START_S: Final = 0.1
BACKOFF_LIMIT_S: Final = 1.0
# Keeps the exponent small however long an outage lasts.
MAX_BACKOFF_DOUBLINGS: Final = 8


def load_newest(store: ObjectStore) -> Result[bytes | None, Unavailable]:
    """Return the newest configuration, or `None` if there is none yet."""
    match read_head(store):
        case Ok(found):
            return load_document(store, found.head)
        case Err(problem):
            return Err(problem)


def load_document(
    store: ObjectStore,
    head: Head,
) -> Result[bytes | None, Unavailable]:
    """Return the configuration document that `head` refers to.

    It is `None` if nothing has been committed yet.
    """
    if not head.document:
        return Ok(None)
    match store.get(DOCUMENT_KIND, head.document):
        case Ok(None):
            return Err(
                Unavailable(
                    'the configuration that the head refers to is missing'
                )
            )
        case Ok(stored):
            return Ok(stored.body if stored else None)
        case Err(problem):
            return Err(problem)


class FleetWatcher:
    """Loads new configurations from the store into this process's holder.

    Each round reads the whole head and then watches it for a change, so a
    lost watch event delays the configuration by one round only. No call is
    made while `is_needed` returns false. Failed rounds are retried after a
    bounded exponential backoff with jitter.
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: FleetHolder,
        *,
        rng: random.Random,
        is_needed: Callable[[], bool] = lambda: True,
        wait_s: float = WATCH_WAIT_S,
        report_failure: FailureReport = print_failure,
    ) -> None:
        """Set up the watcher; nothing is read before `start`.

        A round that fails by an exception is reported to `report_failure`.
        """
        self._report_failure = report_failure
        self._store = store
        self._holder = holder
        self._rng = rng
        self._is_needed = is_needed
        self._wait_s = wait_s
        self._failures = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='fleet-watcher',
            daemon=True,
        )

    def start(self) -> None:
        """Start watching in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, which ends after its current round.

        A round makes up to three calls to the store. Waits at most
        `STOP_TIMEOUT_S` seconds.
        """
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(STOP_TIMEOUT_S)

    def run_round(self) -> float:
        """Load the newest configuration, then wait for a change of the head.

        Returns the seconds to wait before the next round.
        """
        if not self._is_needed():
            return IDLE_INTERVAL_S
        match self._load_and_watch():
            case Ok(_):
                self._failures = 0
                return 0
            case Err(problem):
                self._failures += 1
                return self._compute_backoff_s(problem)

    def _run(self) -> None:
        run_rounds(self.run_round, self._report_failure, self._stopping)

    def _load_and_watch(self) -> Result[Changes, Unavailable]:
        found = read_head(self._store)
        if isinstance(found, Err):
            return found
        versioned = found.ok_value
        if versioned.head.number > self._holder.fleet.number:
            document = load_document(self._store, versioned.head)
            if isinstance(document, Err):
                return document
            accepted = self._holder.apply_if_newer(document.ok_value or b'')
            if isinstance(accepted, Err):
                return Err(Unavailable(accepted.err_value))
        return self._store.watch(
            HEAD_KIND,
            cursor=versioned.version,
            wait_s=self._wait_s,
        )

    def _compute_backoff_s(self, problem: Unavailable) -> float:
        doublings = min(self._failures - 1, MAX_BACKOFF_DOUBLINGS)
        ceiling_s = min(
            math.ldexp(BACKOFF_START_S, doublings),
            BACKOFF_LIMIT_S,
        )
        base_s = min(problem.retry_after_s, ceiling_s)
        return base_s / 2 + self._rng.uniform(0, ceiling_s)


def is_watcher(
    peer: PeerId,
    peers_of_data_centre: Iterable[PeerId],
) -> bool:
    """Return whether `peer` is one of its data centre's watchers.

    Watchers are chosen by rendezvous hashing, so all processes that know the
    same peers choose the same watchers.
    """
    peers = {peer, *peers_of_data_centre}
    ranked = sorted(
        peers,
        key=lambda name: (xxhash.xxh3_64_intdigest(name.encode()), name),
    )
    return peer in ranked[:WATCHERS_PER_DATA_CENTRE]
