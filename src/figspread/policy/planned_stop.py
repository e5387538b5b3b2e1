"""Decides which requests an entry still takes, and until when, before it stops.

It answers the load around a planned stop. Callers keep their connections open and
send more requests over them, and requests that were admitted earlier still wait for
an upstream. Each has to be answered before the process ends, and one that can't be
served until then is best told early, while another entry can still serve it.
"""

from typing import Final

import msgspec

# Time that a leaving entry still accepts connections. The load balancer checks
# once a second and needs two failed checks to remove the entry.
ACCEPT_S: Final = 2.5
# A request is taken only if this many times its estimated duration fits in the time
# left; so it may wait a little and still end in time.
DURATION_FACTOR: Final = 1.2
# Part of the grace period that is kept for final answers and the exit: these
# seconds, or this share of a short one.
EXIT_MARGIN_S: Final = 1.0
EXIT_MARGIN_SHARE: Final = 0.125
# Shares of that margin in which the final answers are sent, and in which memory at
# engines is released after that. The rest is for the exit.
SEND_SHARE: Final = 0.4
RELEASE_SHARE: Final = 0.3
# Retry-After of requests that are refused: another entry takes them at once.
RETRY_AFTER_S: Final = 0.1


class StopSchedule(msgspec.Struct, frozen=True):
    """Clock times of a planned stop.

    Connections are accepted until `accept_until_s`. Each request gets its final
    answer by `answers_due_s`. Connections are closed by `close_due_s`, whether or
    not slow callers have made room for their answers. What is not released after
    `release_s` more seconds is left to expire.
    """

    accept_until_s: float
    answers_due_s: float
    close_due_s: float
    release_s: float

    def may_admit(
        self, now: float, *, deadline_s: float, duration_s: float
    ) -> bool:
        """Return whether a request that arrives at `now` is taken.

        One that times out before the stop is. Others must come while connections
        are accepted, and be expected to end in time.

        >>> schedule = plan_stop(0, grace_s=8)
        >>> schedule.may_admit(1, deadline_s=16, duration_s=4)
        True
        >>> schedule.may_admit(4, deadline_s=16, duration_s=2)
        False
        """
        if deadline_s <= self.answers_due_s:
            return True
        latest_s = self.answers_due_s - DURATION_FACTOR * duration_s
        return now < self.accept_until_s and now <= latest_s

    def may_send(
        self, now: float, *, deadline_s: float, duration_s: float
    ) -> bool:
        """Return whether an admitted request may still be sent at `now`.

        >>> schedule = plan_stop(0, grace_s=8)
        >>> schedule.may_send(3, deadline_s=16, duration_s=4)
        True
        >>> schedule.may_send(4, deadline_s=16, duration_s=4)
        False
        """
        if deadline_s <= self.answers_due_s:
            return True
        return now + duration_s <= self.answers_due_s


def plan_stop(now: float, grace_s: float) -> StopSchedule:
    """Return the schedule of a stop that was asked for at `now`.

    The process is killed `grace_s` seconds later.
    """
    margin_s = min(EXIT_MARGIN_S, EXIT_MARGIN_SHARE * grace_s)
    answers_due_s = now + grace_s - margin_s
    return StopSchedule(
        min(now + ACCEPT_S, answers_due_s),
        answers_due_s,
        answers_due_s + SEND_SHARE * margin_s,
        RELEASE_SHARE * margin_s,
    )
