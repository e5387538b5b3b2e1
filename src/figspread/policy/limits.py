"""Admission limits of an entry, enforced without calls to other entries."""

import threading
from collections.abc import Mapping

import msgspec

from figspread.clock import Clock
from figspread.config.fleet import Workspace
from figspread.ids import RequestId, WorkspaceId
from figspread.outcome import NotRun, NotRunReason
from figspread.policy.retry_schedule import RetrySchedule
from figspread.policy.shares import MeanHoldTime, WorkspaceShare
from figspread.policy.types import Admitted, RequestProfile


class EntryLimits(msgspec.Struct, frozen=True):
    """Limits of one entry over all workspaces.

    Without `checks_wait`, requests that can't finish in time are admitted
    too; benchmarks use this as a baseline.
    """

    admitted_requests: int = 400
    checks_wait: bool = True


class _AdmittedRequest(msgspec.Struct, frozen=True):
    """An admitted request and the workspace share that it holds, if any."""

    admitted_at: float
    share: WorkspaceShare | None


class EntryAdmission:
    """Admits requests within the limits of workspaces and of the entry.

    Each entry enforces its part of a workspace's limit: the limit divided by
    the number of live entries. Thread-safe.
    """

    def __init__(
        self,
        clock: Clock,
        limits: EntryLimits = EntryLimits(),
    ) -> None:
        """Start as the only live entry, without workspace limits."""
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._live_entries = 1
        self._limits_by_workspace: Mapping[WorkspaceId, Workspace] = {}
        self._shares: dict[WorkspaceId, WorkspaceShare] = {}
        self._admitted: dict[RequestId, _AdmittedRequest] = {}
        self._hold_time = MeanHoldTime()
        self._retry_after = RetrySchedule(clock)

    def set_workspaces(
        self,
        workspaces: Mapping[WorkspaceId, Workspace],
    ) -> None:
        """Replace the workspace limits and update existing shares."""
        with self._lock:
            self._limits_by_workspace = workspaces
            self._update_shares()

    def update_live_entries(self, entries: int) -> None:
        """Set the number of live entries, including this one."""
        with self._lock:
            self._live_entries = max(1, entries)
            self._update_shares()

    def admit(
        self,
        work: RequestProfile,
        *,
        ahead_s: float = 0,
        time_left_s: float = float('inf'),
    ) -> Admitted | NotRun:
        """Admit `work`, or refuse it with a retry delay.

        `ahead_s` is the shortest wait over the upstreams that could take the
        request; if it exceeds `time_left_s`, the request is refused at once.
        An admitted request must be passed to `release` when it ends.
        """
        with self._lock:
            excess_s = ahead_s - time_left_s
            is_full = len(self._admitted) >= self._limits.admitted_requests
            is_late = excess_s > 0 and self._limits.checks_wait
            if is_full or is_late:
                return self._refuse_overload(max(0, excess_s))
            share = self._find_or_create_share(work.workspace)
            retry_after_s = share.acquire(work) if share else 0
            if retry_after_s > 0:
                return NotRun(NotRunReason.LIMIT, retry_after_s)
            self._admitted[work.request] = _AdmittedRequest(
                self._clock.now(), share
            )
        return Admitted()

    def release(self, work: RequestProfile) -> None:
        """Release the share that `admit` acquired; idempotent."""
        with self._lock:
            admitted = self._admitted.pop(work.request, None)
            if admitted is None:
                return
            held_s = self._clock.now() - admitted.admitted_at
            self._hold_time.add_sample(held_s)
            if admitted.share is not None:
                admitted.share.release(held_s)

    def _refuse_overload(self, excess_s: float) -> NotRun:
        release_interval_s = (
            self._hold_time.mean_s / self._limits.admitted_requests
        )
        retry_after_s = self._retry_after.next_retry_after_s(
            excess_s=max(excess_s, release_interval_s),
            service_s=release_interval_s,
        )
        return NotRun(NotRunReason.OVERLOAD, retry_after_s)

    def _find_or_create_share(
        self, workspace: WorkspaceId
    ) -> WorkspaceShare | None:
        share = self._shares.get(workspace)
        record = self._limits_by_workspace.get(workspace)
        if share is None and record is not None:
            share = WorkspaceShare(record, self._live_entries, self._clock)
            self._shares[workspace] = share
        return share

    def _update_shares(self) -> None:
        for workspace, share in tuple(self._shares.items()):
            record = self._limits_by_workspace.get(workspace)
            if record is not None:
                share.update(record, self._live_entries)
            elif share.is_idle:
                self._shares.pop(workspace)
