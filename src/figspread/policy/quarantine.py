"""Keeps requests with a part that crashes upstreams from them.

A quarantined part is tried again with one request at a time, after intervals
that grow, so that it comes back once it no longer crashes upstreams.
"""

from collections.abc import Callable, Collection, Iterable
from typing import Final, TypeAlias

import msgspec

from figspread.ids import PromptPartId
from figspread.policy.part_evidence import PartEvidence, PartGroup

# Answers that speak for a part arrive from other entries within this time of
# the crash that seems to convict it.
CONFIRM_S: Final = 0.1
# Time to the first trial, the factor for each later one, and the longest.
FIRST_TRIAL_S: Final = 60.0
TRIAL_FACTOR: Final = 4.0
MAX_TRIAL_INTERVAL_S: Final = 3600.0
# Trials that are told apart; the interval is the longest long before.
MAX_TRIALS: Final = 100
# A quarantine ends if no request has met it for this time.
UNUSED_TTL_S: Final = 7200.0
MAX_QUARANTINES: Final = 1000


class Quarantine(msgspec.Struct):
    """Requests with all parts of `group` are refused; times are clock times.

    It was found at `since_s`. `trials` counts the requests that were sent to
    try it, and another one may be sent from `next_trial_s` on. `met_s` is when
    a request was last refused for it.
    """

    group: PartGroup
    since_s: float
    next_trial_s: float
    met_s: float
    trials: int = 0


class Allowed(msgspec.Struct, frozen=True):
    """No quarantine holds for the request."""


class OnTrial(msgspec.Struct, frozen=True):
    """The request may be sent as the trial of `quarantines`."""

    quarantines: tuple[Quarantine, ...]


class Refused(msgspec.Struct, frozen=True):
    """The request must not be sent before the clock time `until_s`."""

    quarantine: Quarantine
    until_s: float


QuarantineVerdict: TypeAlias = Allowed | OnTrial | Refused


class QuarantineTable:
    """The quarantines in force, found from `evidence` or told by others.

    The table changes only in `update`, `adopt` and `record_answered`. A single
    part that crashes upstreams stays in it when its evidence is forgotten; while
    that is known, it is judged again with all that is heard.
    """

    def __init__(
        self,
        evidence: PartEvidence,
        count_running: Callable[[PromptPartId], int],
    ) -> None:
        """Start empty; for `count_running` see `PartEvidence.find_groups`."""
        self.evidence = evidence
        self._count_running = count_running
        self._quarantines: dict[PartGroup, Quarantine] = {}

    def list_all(self) -> list[Quarantine]:
        """Return all quarantines, those not confirmed yet included."""
        return list(self._quarantines.values())

    def judge(
        self, parts: Collection[PromptPartId], now: float
    ) -> QuarantineVerdict:
        """Return whether a request with these parts may be sent now."""
        if not self._quarantines:
            return Allowed()
        met = [
            quarantine
            for group, quarantine in self._quarantines.items()
            if group.issubset(parts) and now >= quarantine.since_s + CONFIRM_S
        ]
        if not met:
            return Allowed()
        latest = max(met, key=lambda quarantine: quarantine.next_trial_s)
        for quarantine in met:
            quarantine.met_s = now
        if latest.next_trial_s > now:
            return Refused(latest, latest.next_trial_s)
        return OnTrial(tuple(met))

    def update(self, now: float) -> tuple[list[Quarantine], list[Quarantine]]:
        """Judge the evidence again; return what was added and what ended."""
        self.evidence.drop_old(now)
        kept = {
            group: quarantine
            for group, quarantine in self._quarantines.items()
            if self._is_kept(quarantine, now)
        }
        groups = self.evidence.find_groups(now, kept, self._count_running)
        found = {group: self._find_or_make(group, now) for group in groups}
        return self._replace({**kept, **found})

    def adopt(self, told: Quarantine) -> bool:
        """Take over what another entry has found; return whether it is news.

        An answer since then speaks against it. Parts that came together are
        kept only if the evidence shows the same here.
        """
        known = self._quarantines.get(told.group)
        if known is not None:
            is_news = told.trials > known.trials
            if is_news:
                known.trials = told.trials
                known.next_trial_s = told.next_trial_s
            return is_news
        is_refuted = any(
            self.evidence.answered_s(part) >= told.since_s
            for part in told.group
        )
        if is_refuted:
            return False
        self._quarantines[told.group] = told
        return True

    def record_answered(
        self, parts: Iterable[PromptPartId], answered_s: float
    ) -> list[PartGroup]:
        """Record the parts of an answered prompt.

        Return those of each quarantine that are cleared by it.
        """
        answered = frozenset(parts)
        self.evidence.record_answered(answered, answered_s)
        cleared: list[PartGroup] = []
        for quarantine in self.list_all():
            sound = quarantine.group & answered
            if not sound or quarantine.since_s > answered_s:
                continue
            cleared.append(sound)
            self._quarantines.pop(quarantine.group)
            others = quarantine.group - answered
            if others:
                # The answered parts are sound, so the others are to blame.
                narrowed = msgspec.structs.replace(quarantine, group=others)
                self._quarantines.setdefault(others, narrowed)
        return cleared

    def _is_kept(self, quarantine: Quarantine, now: float) -> bool:
        """Return whether a quarantine holds without being judged again."""
        return (
            len(quarantine.group) == 1
            and quarantine.met_s > now - UNUSED_TTL_S
            and not self.evidence.is_sufficient(quarantine.group)
        )

    def _find_or_make(self, group: PartGroup, now: float) -> Quarantine:
        known = self._quarantines.get(group)
        if known is not None:
            return known
        # A group with fewer parts follows one with more, if a further crash has
        # shown which of them matter.
        since_s = min(
            (
                quarantine.since_s
                for wider, quarantine in self._quarantines.items()
                if group < wider
            ),
            default=now,
        )
        return Quarantine(group, since_s, now + FIRST_TRIAL_S, now)

    def _replace(
        self, quarantines: dict[PartGroup, Quarantine]
    ) -> tuple[list[Quarantine], list[Quarantine]]:
        before = self._quarantines
        if len(quarantines) > MAX_QUARANTINES:
            least = min(quarantines.values(), key=lambda row: row.met_s)
            quarantines.pop(least.group)
        self._quarantines = quarantines
        added = [row for row in quarantines.values() if row.group not in before]
        ended = [row for row in before.values() if row.group not in quarantines]
        return added, ended


def begin_trial(quarantine: Quarantine, now: float) -> None:
    """Record a trial, as if it fails; if not, its answer ends all this."""
    quarantine.trials += 1
    quarantine.next_trial_s = now + trial_interval_s(quarantine.trials)


def trial_interval_s(trials: int) -> float:
    """Return the seconds to the next trial, after `trials` that failed."""
    factor = TRIAL_FACTOR ** min(trials, MAX_TRIALS)
    return min(MAX_TRIAL_INTERVAL_S, FIRST_TRIAL_S * factor)
