"""When a leaving agent closes, and which attempts it gives back before."""

from typing import Final

from figspread.agent.outcomes import is_safe_to_repeat
from figspread.inner.messages import Submit

# An agent closes once no entry has submitted anything for this long.
QUIET_S: Final = 0.5
# Bounds that wait, from the time when the agent announced that it leaves.
MAX_NOTICE_S: Final = 5.0


def find_exit_time(announced_s: float, submitted_s: float) -> float:
    """Return the time from which an agent without attempts may close.

    Entries submit attempts until they know that the agent leaves, which it
    announced at `announced_s`. A submission that isn't read before the
    connection is closed counts as one that may have run, so the agent stays to
    refuse it. `submitted_s` is the time of the last submission.
    """
    return min(
        max(announced_s, submitted_s) + QUIET_S, announced_s + MAX_NOTICE_S
    )


def would_be_cut(
    submit: Submit, time_left_s: float, drain_limit_s: float
) -> bool:
    """Tell whether an attempt that waits must not begin at a leaving agent.

    These are the calls that must not be repeated, and whose time ends after the
    drain: if they began, its end might break them off.
    """
    return not is_safe_to_repeat(submit) and time_left_s > drain_limit_s
