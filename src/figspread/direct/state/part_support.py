"""What speaks for a part of prompts: the answers with it that are arriving."""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import Final

from figspread.clock import Clock
from figspread.ids import PromptPartId

# How long the number of answers that run at another entry counts.
RUNNING_TTL_S: Final = 2.0
# What speaks for a part is told again after this time at the earliest, and new
# answers after the other one.
REPEAT_S: Final = 30.0
REPEAT_ANSWERS_S: Final = 0.5


class PartSupport:
    """Counts the answers that arrive here, and keeps what others have told."""

    def __init__(self, clock: Clock) -> None:
        """Start with no answers."""
        self._clock = clock
        self._running: Counter[PromptPartId] = Counter()
        self._elsewhere: dict[PromptPartId, tuple[float, int]] = {}
        self._told_s: dict[PromptPartId, float] = {}
        self._told_answers_s: dict[PromptPartId, float] = {}

    def begin_output(self, parts: Iterable[PromptPartId]) -> None:
        """Record that the answer to a prompt with these parts has begun."""
        self._running.update(parts)

    def end_output(self, parts: Collection[PromptPartId]) -> None:
        """Record that such an answer is over, however it ended."""
        self._running.subtract(parts)
        for part in parts:
            if self._running[part] <= 0:
                self._running.pop(part)

    def count_here(self, part: PromptPartId) -> int:
        """Return how many answers with `part` are arriving at this entry."""
        return self._running[part]

    def record_elsewhere(self, part: PromptPartId, running: int) -> None:
        """Record how many answers with `part` are arriving at another entry."""
        until_s = self._clock.now() + RUNNING_TTL_S
        self._elsewhere[part] = (until_s, running)

    def count_running(self, part: PromptPartId) -> int:
        """Return how many answers with `part` are arriving at one entry."""
        until_s, elsewhere = self._elsewhere.get(part, (0, 0))
        if until_s < self._clock.now():
            self._elsewhere.pop(part, None)
            elsewhere = 0
        return max(self._running[part], elsewhere)

    def pop_due(
        self, parts: Iterable[PromptPartId]
    ) -> tuple[PromptPartId, ...]:
        """Return those of `parts` that were not told lately, and note them."""
        return _pop_due(self._told_s, parts, self._clock.now(), REPEAT_S)

    def pop_due_answers(
        self, parts: Iterable[PromptPartId]
    ) -> tuple[PromptPartId, ...]:
        """Do the same for parts that have been answered just now."""
        now = self._clock.now()
        return _pop_due(self._told_answers_s, parts, now, REPEAT_ANSWERS_S)


def _pop_due(
    told_s: dict[PromptPartId, float],
    parts: Iterable[PromptPartId],
    now: float,
    interval_s: float,
) -> tuple[PromptPartId, ...]:
    for told, at_s in tuple(told_s.items()):
        if at_s <= now - interval_s:
            told_s.pop(told)
    due = tuple(part for part in parts if part not in told_s)
    told_s.update(dict.fromkeys(due, now))
    return due
