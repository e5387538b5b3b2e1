"""Refuses requests with parts that crash upstreams, together with other entries.

All entries tell each other of requests that crashes interrupted, and of answers
that speak for a part that was in one. Each judges the same evidence.
"""

from collections.abc import Iterable, Iterator
from typing import Final, Protocol

from figspread.clock import Clock
from figspread.direct.state.part_rows import (
    make_evidence_row,
    make_interrupted_row,
    make_quarantine_row,
    read_age,
    read_quarantine_row,
    read_request,
)
from figspread.direct.state.part_support import PartSupport
from figspread.ids import CrashId, PromptPartId
from figspread.inner.entry_messages import (
    InterruptedRow,
    PartEvidenceRow,
    PartNews,
)
from figspread.policy.part_evidence import (
    InterruptedRequest,
    PartEvidence,
    PartGroup,
)
from figspread.policy.quarantine import (
    CONFIRM_S,
    OnTrial,
    Quarantine,
    QuarantineTable,
    QuarantineVerdict,
    begin_trial,
    trial_interval_s,
)
from figspread.telemetry.logs import Log

# Interval of judging the evidence again without news.
JUDGE_INTERVAL_S: Final = 0.5
# The source of what this entry has seen itself, for the log.
OWN_REQUESTS: Final = 'own'
# Crashes that a log line names, the newest ones.
LOGGED_CRASHES: Final = 8


class PartAnnouncer(Protocol):
    """Tells other entries."""

    def announce_parts(self, news: PartNews) -> None:
        """Send news of this entry to the other entries."""


class QuarantineObserver(Protocol):
    """Is told of new quarantines."""

    def handle_quarantine(self, group: PartGroup) -> None:
        """Handle that requests with all of `group` are refused from now on."""


class PartQuarantine:
    """The evidence on parts of prompts, and the quarantines that follow.

    `announcers` and `observers` are called from when they are added.
    """

    def __init__(self, clock: Clock, log: Log) -> None:
        """Start without evidence."""
        self._clock = clock
        self._log = log
        self.support = PartSupport(clock)
        self.evidence = PartEvidence()
        self.announcers: list[PartAnnouncer] = []
        self.observers: list[QuarantineObserver] = []
        self._table = QuarantineTable(self.evidence, self.support.count_running)
        self._has_news = False
        self._judged_s = clock.now()

    def list_all(self) -> list[Quarantine]:
        """Return the quarantines in force."""
        return self._table.list_all()

    def judge(self, parts: Iterable[PromptPartId]) -> QuarantineVerdict:
        """Return whether a request with these parts may be sent now."""
        return self._table.judge(frozenset(parts), self._clock.now())

    def begin_trial(self, trial: OnTrial, request: str) -> None:
        """Record that a request is sent to find out whether its parts crash."""
        now = self._clock.now()
        for quarantine in trial.quarantines:
            begin_trial(quarantine, now)
            self._log.info(
                'prompt part tried again',
                request=request,
                parts=sorted(quarantine.group),
                trials=quarantine.trials,
                next_trial_s=round(quarantine.next_trial_s - now, 1),
            )
        rows = (make_quarantine_row(tried, now) for tried in trial.quarantines)
        self._announce(PartNews(quarantines=tuple(rows)))

    def record_interrupted(
        self,
        crash: CrashId,
        interrupted: Iterable[tuple[float, InterruptedRequest]],
    ) -> None:
        """Record own requests, each with the clock time of its interruption."""
        now = self._clock.now()
        rows = tuple(
            make_interrupted_row(crash, interrupted_s, request, now)
            for interrupted_s, request in interrupted
            if self.evidence.record_interrupted(crash, interrupted_s, request)
        )
        if rows:
            self._has_news = True
            self._announce(PartNews(rows, self._pop_support(rows)))

    def record_answered(
        self, parts: Iterable[PromptPartId], began_s: float
    ) -> None:
        """Record that a prompt with these parts has got a whole answer.

        It began at clock time `began_s`; what comes later may crash all the
        same.
        """
        # Other entries hear of an answer if something speaks against a part.
        doubted = [
            part
            for part in parts
            if self.evidence.crashed_s(part) > self.evidence.answered_s(part)
        ]
        self._clear(parts, began_s, OWN_REQUESTS)
        due = self.support.pop_due_answers(doubted)
        if due:
            self._has_news = True
            rows = tuple(map(self._make_evidence_row, due))
            self._announce(PartNews(evidence=rows))

    def update(self) -> None:
        """Judge the evidence if there is news; call this at short intervals."""
        now = self._clock.now()
        is_due = now >= self._judged_s + JUDGE_INTERVAL_S
        has_crashes = bool(self.evidence.list_crashed_parts())
        if not (self._has_news or (is_due and has_crashes)):
            return
        self._has_news = False
        self._judged_s = now
        added, ended = self._table.update(now)
        for quarantine in added:
            self._log_quarantine(quarantine, OWN_REQUESTS)
        for quarantine in ended:
            self._log.info(
                'prompt part released', parts=sorted(quarantine.group)
            )

    def merge(self, news: PartNews, source: str) -> None:
        """Record what another entry has told."""
        now = self._clock.now()
        self._has_news = True
        for told in news.evidence:
            self.support.record_elsewhere(told.part, told.running)
            answered_s = read_age(told.answered_age_ms, now)
            if answered_s > float('-inf'):
                self._clear((told.part,), answered_s, source)
        for quarantined in news.quarantines:
            self._adopt(read_quarantine_row(quarantined, now), source)
        new_rows = [
            row
            for row in news.interrupted
            if self.evidence.record_interrupted(
                row.crash, read_age(row.age_ms, now), read_request(row)
            )
        ]
        support = self._pop_support(new_rows)
        if support:
            self._announce(PartNews(evidence=support))
        if news.quarantines:
            # An entry that has just started may get its first request next.
            self.update()

    def make_snapshot(self) -> Iterator[PartNews]:
        """Yield all that is known, for an entry that has just connected."""
        now = self._clock.now()
        for crash_id, crash in self.evidence.list_crashes():
            yield PartNews(
                tuple(
                    make_interrupted_row(
                        crash_id, crash.crashed_s, request, now
                    )
                    for request in crash.requests
                )
            )
        crashed_parts = self.evidence.list_crashed_parts()
        yield PartNews(
            evidence=tuple(map(self._make_evidence_row, crashed_parts)),
            quarantines=tuple(
                make_quarantine_row(quarantine, now)
                for quarantine in self._table.list_all()
            ),
        )

    def restore(self, part: PromptPartId, trials: int) -> None:
        """Take over a quarantine that an entry has stored.

        Its age is unknown, so any answer here speaks against it.
        """
        if self.evidence.answered_s(part) > float('-inf'):
            return
        now = self._clock.now()
        stored = Quarantine(
            frozenset((part,)),
            since_s=now - CONFIRM_S,
            next_trial_s=now + trial_interval_s(trials),
            met_s=now,
            trials=trials,
        )
        self._adopt(stored, 'store')

    def _clear(
        self, parts: Iterable[PromptPartId], answered_s: float, source: str
    ) -> None:
        for group in self._table.record_answered(parts, answered_s):
            self._log.info(
                'prompt part cleared', parts=sorted(group), source=source
            )

    def _adopt(self, told: Quarantine, source: str) -> None:
        if self._table.adopt(told):
            self._log_quarantine(told, source)

    def _log_quarantine(self, quarantine: Quarantine, source: str) -> None:
        now = self._clock.now()
        crashes = [
            crash_id
            for crash_id, crash in self.evidence.list_crashes()
            if crash.has_group(quarantine.group)
        ]
        self._log.warning(
            'prompt part quarantined',
            parts=sorted(quarantine.group),
            source=source,
            crashes=crashes[-LOGGED_CRASHES:],
            age_s=round(now - quarantine.since_s, 3),
            trials=quarantine.trials,
            next_trial_s=round(quarantine.next_trial_s - now, 1),
        )
        for observer in self.observers:
            observer.handle_quarantine(quarantine.group)

    def _pop_support(
        self, rows: Iterable[InterruptedRow]
    ) -> tuple[PartEvidenceRow, ...]:
        """Return what speaks for the parts of `rows`, if not told lately."""
        supported = {
            part
            for row in rows
            for part in row.parts
            if self.support.count_here(part)
            or self.evidence.answered_s(part) > float('-inf')
        }
        due = self.support.pop_due(supported)
        return tuple(map(self._make_evidence_row, due))

    def _make_evidence_row(self, part: PromptPartId) -> PartEvidenceRow:
        return make_evidence_row(
            part,
            self.evidence.answered_s(part),
            self.support.count_here(part),
            self._clock.now(),
        )

    def _announce(self, news: PartNews) -> None:
        for announcer in self.announcers:
            announcer.announce_parts(news)
