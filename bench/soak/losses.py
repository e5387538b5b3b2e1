"""Tells which requests a planned stop of their entry has lost."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from bench.giftwrap.deployment import GRACE_S
from bench.giftwrap.upstream import REQUEST_ID, Upstream, Work
from bench.soak.calls import Call
from figspread.http1.fields import find_field

# Requirements of the platform. A stop counts until this long after its grace
# period. A connection may end that soon after a request's last byte, unless the
# request was passed on. One that was sent at most that late may be cut while its
# upstream works on it in the last share of the grace period.
AFTER_GRACE_S: Final = 1.0
LOSS_SLACK_S: Final = 0.2
LATEST_SENT_S: Final = 3.0
LAST_SHARE: Final = 1 / 6
# Entries end a request at most that long before its caller's deadline.
DEADLINE_MARGIN_S: Final = 0.05


class LossCheck:
    """Judges requests whose connection ended without a complete answer."""

    def __init__(self, upstreams: Iterable[Upstream], started_s: float) -> None:
        """Judge by what `upstreams` have recorded.

        `started_s` is the event loop's time at the run's start.
        """
        self._started_s = started_s
        self._works: defaultdict[str, list[Work]] = defaultdict(list)
        self._received: set[str] = set()
        for upstream in upstreams:
            for work in upstream.works:
                self._works[work.request].append(work)
            self._received.update(
                find_field(request.fields, REQUEST_ID) or ''
                for request in upstream.received_requests
            )

    def is_excused(self, call: Call, stops_s: Iterable[float]) -> bool:
        """Return whether a request may have been cut.

        `stops_s` are the times of SIGTERM to its entry, in seconds since the
        run's start.
        """
        if call.ended_s - call.sent_s >= call.timeout_s - DEADLINE_MARGIN_S:
            return True
        if any(work.has_broken_off for work in self._works[call.request]):
            return True
        return any(self._is_excused_by(call, stop_s) for stop_s in stops_s)

    def describe(self, call: Call) -> str:
        """Return a line with the request and what upstreams did with it."""
        works = [
            (
                round(work.started_s - self._started_s, 2),
                round(work.ended_s - self._started_s, 2),
            )
            for work in self._works[call.request]
        ]
        return (
            '{0} at entry {1}, last byte {2:.2f} s, ended {3:.2f} s, {4}, '
            'passed on: {5}, upstream worked: {6}'.format(
                call.request,
                call.entry,
                call.last_byte_s,
                call.ended_s,
                _describe_end(call),
                call.request in self._received,
                works,
            )
        )

    def _is_excused_by(self, call: Call, stop_s: float) -> bool:
        if not stop_s <= call.ended_s <= stop_s + GRACE_S + AFTER_GRACE_S:
            return False
        if call.last_byte_s <= stop_s + LATEST_SENT_S:
            end_s = self._started_s + stop_s + GRACE_S
            if any(
                work.started_s <= end_s
                and work.ended_s >= end_s - LAST_SHARE * GRACE_S
                for work in self._works[call.request]
            ):
                return True
        is_passed_on = call.request in self._received
        return (
            not is_passed_on and call.ended_s - call.last_byte_s <= LOSS_SLACK_S
        )


def _describe_end(call: Call) -> str:
    if call.answer is None:
        return 'no answer'
    return 'status {0}, {1}'.format(
        call.answer.status, call.answer.break_reason or 'whole'
    )
