"""Retry budget and backoff."""

import random
import threading
from typing import Final

from figspread.ids import WorkspaceId

RETRY_FRACTION: Final = 0.2
INITIAL_CREDIT: Final = 10.0
MAX_WORKSPACE_CREDIT: Final = 50.0
MAX_ENTRY_CREDIT: Final = 200.0
MAX_WORKSPACES: Final = 4096
BACKOFF_BASE_S: Final = 0.05
BACKOFF_LIMIT_S: Final = 2.0
# Bounds the exponent, and so the size of the number; the backoff reaches its
# limit after fewer doublings.
_MAX_DOUBLINGS: Final = 16


class _Credit:
    """Credit for retries, earned by first tries, up to `limit`."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._available = INITIAL_CREDIT

    @property
    def is_spent(self) -> bool:
        return self._available < 1

    def earn(self) -> None:
        self._available = min(self._limit, self._available + RETRY_FRACTION)

    def spend(self) -> None:
        self._available -= 1


class RetryBudget:
    """Limits retries to a fraction of recent first tries.

    The limit applies to the entry and to each workspace: in any period there
    are at most `RETRY_FRACTION` times as many retries as first tries, plus
    the credit accumulated before. Thread-safe.
    """

    def __init__(self) -> None:
        """Start with `INITIAL_CREDIT`, so that early failures are retried."""
        self._lock = threading.Lock()
        self._entry = _Credit(MAX_ENTRY_CREDIT)
        self._workspaces: dict[WorkspaceId, _Credit] = {}

    def record_first_try(self, workspace: WorkspaceId) -> None:
        """Record the first try of a request, which earns credit."""
        with self._lock:
            self._entry.earn()
            self._find_or_create_credit(workspace).earn()

    def take_retry(self, workspace: WorkspaceId) -> bool:
        """Spend credit on one retry; return whether there was enough."""
        with self._lock:
            credit = self._find_or_create_credit(workspace)
            if self._entry.is_spent or credit.is_spent:
                return False
            self._entry.spend()
            credit.spend()
        return True

    def _find_or_create_credit(self, workspace: WorkspaceId) -> _Credit:
        credit = self._workspaces.get(workspace)
        if credit is None:
            if len(self._workspaces) >= MAX_WORKSPACES:
                self._workspaces.pop(next(iter(self._workspaces)))
            credit = _Credit(MAX_WORKSPACE_CREDIT)
            self._workspaces[workspace] = credit
        return credit


def backoff_s(retry: int, rng: random.Random) -> float:
    """Return the delay before retry number `retry`, counted from 0.

    Exponential backoff with full jitter: the delay is drawn uniformly between
    0 and a limit that doubles with each retry, so that requests which failed
    together don't retry together.
    """
    limit_s = BACKOFF_BASE_S * 2 ** min(retry, _MAX_DOUBLINGS)
    return rng.uniform(0, min(BACKOFF_LIMIT_S, limit_s))
