"""Accumulates counts and latency histograms during a load run."""

import threading
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from typing import Final, Protocol

from hdrh.histogram import HdrHistogram

from figspread import __version__
from figspread.load.plan import LoadPlan
from figspread.load.report import GroupSummary, LatencySummary, Report
from figspread.load.results import CallResult, OutcomeName

MAX_TIME_US: Final = 7_200_000_000
SIGNIFICANT_DIGITS: Final = 3
_US_PER_S: Final = 1_000_000
_US_PER_MS: Final = 1000


class _Histogram(Protocol):
    """The methods used of `HdrHistogram`, which has no type annotations."""

    def record_value(self, value: int) -> bool: ...

    def get_total_count(self) -> int: ...

    def get_value_at_percentile(self, percentile: float) -> int: ...

    def get_max_value(self) -> int: ...


_make_histogram: Final[Callable[[int, int, int], _Histogram]] = HdrHistogram


class TimeRecorder:
    """A histogram of durations."""

    def __init__(self) -> None:
        """Start empty."""
        self._histogram = _make_histogram(
            1,
            MAX_TIME_US,
            SIGNIFICANT_DIGITS,
        )

    def add(self, seconds: float) -> None:
        """Record a duration in seconds, clamped to the histogram's range."""
        us = min(max(1, round(seconds * _US_PER_S)), MAX_TIME_US)
        self._histogram.record_value(us)

    def summarize(self) -> LatencySummary:
        """Return the percentiles of the durations recorded so far."""
        histogram = self._histogram
        if not histogram.get_total_count():
            return LatencySummary()
        p50, p90, p95, p99 = (
            histogram.get_value_at_percentile(percentile) / _US_PER_MS
            for percentile in (50, 90, 95, 99)
        )
        return LatencySummary(
            count=histogram.get_total_count(),
            p50_ms=p50,
            p90_ms=p90,
            p95_ms=p95,
            p99_ms=p99,
            max_ms=histogram.get_max_value() / _US_PER_MS,
        )


class GroupRecorder:
    """Counts and latencies of one group of requests."""

    def __init__(self) -> None:
        """Start empty."""
        self._outcomes: Counter[str] = Counter()
        self._reasons: Counter[str] = Counter()
        self._prompt_tokens: Counter[str] = Counter()
        self._first_token = TimeRecorder()
        self._between_tokens = TimeRecorder()
        self._whole = TimeRecorder()

    def add(self, call: CallResult) -> None:
        """Count a request; only answered requests count into the latencies."""
        verdict = call.verdict
        outcome = verdict.outcome.value
        self._outcomes[outcome] += 1
        self._prompt_tokens[outcome] += call.prompt_tokens
        if verdict.outcome is not OutcomeName.ANSWERED:
            self._reasons['{0}/{1}'.format(outcome, verdict.reason)] += 1
            return
        self._whole.add(call.whole_s)
        if call.first_token_s is not None:
            self._first_token.add(call.first_token_s)
        for gap_s in call.gaps_s:
            self._between_tokens.add(gap_s)

    def summarize(self) -> GroupSummary:
        """Return the group's figures so far."""
        return GroupSummary(
            requests=self._outcomes.total(),
            outcomes={
                outcome.value: self._outcomes[outcome.value]
                for outcome in OutcomeName
            },
            reasons=dict(self._reasons),
            prompt_tokens=self._prompt_tokens.total(),
            answered_prompt_tokens=self._prompt_tokens[
                OutcomeName.ANSWERED.value
            ],
            first_token=self._first_token.summarize(),
            between_tokens=self._between_tokens.summarize(),
            whole=self._whole.summarize(),
        )


class RunRecorder:
    """Counts all requests of a load run; safe to use from many threads."""

    def __init__(self, plan: LoadPlan) -> None:
        """Start empty."""
        self._plan = plan
        self._lock = threading.Lock()
        self._total = GroupRecorder()
        self._classes: dict[str, GroupRecorder] = defaultdict(GroupRecorder)
        self._workspaces: dict[str, GroupRecorder] = defaultdict(GroupRecorder)
        self._services: dict[str, GroupRecorder] = defaultdict(GroupRecorder)
        self._late = TimeRecorder()
        # Counts of retried requests: `False` if the final outcome is
        # `NOT_RUN`, else `True`.
        self._retried: Counter[bool] = Counter()

    def add(self, call: CallResult) -> None:
        """Count a finished request in the totals and in its groups."""
        with self._lock:
            self._total.add(call)
            self._late.add(call.late_s)
            if call.length is None:
                self._services[call.service].add(call)
            else:
                self._classes[call.length.value].add(call)
                self._workspaces[call.workspace].add(call)
            if call.comebacks:
                outcome = call.verdict.outcome
                self._retried[outcome is not OutcomeName.NOT_RUN] += 1

    def summarize(
        self,
        *,
        planned: int,
        elapsed_s: float,
        is_partial: bool,
    ) -> Report:
        """Return the report; rates are over `elapsed_s` seconds."""
        with self._lock:
            total = self._total.summarize()
            answered = total.outcomes[OutcomeName.ANSWERED.value]
            return Report(
                total=total,
                classes=_summarize_all(self._classes),
                workspaces=_summarize_all(self._workspaces),
                services=_summarize_all(self._services),
                late=self._late.summarize(),
                planned=planned,
                came_back=self._retried.total(),
                let_in_after=self._retried[True],
                answered_per_s=answered / elapsed_s if elapsed_s else 0,
                elapsed_s=elapsed_s,
                seed=self._plan.seed,
                is_partial=is_partial,
                plan=self._plan.model_dump(mode='json'),
                version=__version__,
            )


def _summarize_all(
    recorders: Mapping[str, GroupRecorder],
) -> dict[str, GroupSummary]:
    return {
        name: recorder.summarize()
        for name, recorder in sorted(recorders.items())
    }
