"""What an entry has seen of upstreams itself: failures and their share."""

from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.ids import UpstreamId

# Pauses before an upstream that failed is tried again, doubling.
RETRY_FIRST_S: Final = 0.25
RETRY_LONGEST_S: Final = 2.0


# How fast the share of failures follows, and how fast it is forgotten: an
# upstream that is left out shows nothing new.
FOLLOW: Final = 0.3
FORGET_HALF_S: Final = 4.0


class Health(msgspec.Struct):
    """What this entry has seen of an upstream itself.

    `share` is about the share of its late answers that were failures, as of
    `noted_s`.
    """

    failures: int = 0
    retry_at: float = 0
    share: float = 0
    noted_s: float = 0


class HealthRegistry:
    """The health of upstreams by id; nothing is kept of sound ones."""

    def __init__(self, clock: Clock) -> None:
        """Start with all sound."""
        self._clock = clock
        self._health: dict[UpstreamId, Health] = {}

    def forget(self, name: UpstreamId) -> None:
        """Forget an upstream's health: it has started anew."""
        self._health.pop(name, None)

    def is_sound(self, name: UpstreamId) -> bool:
        """Tell whether the upstream isn't left out for now."""
        health = self._health.get(name)
        return health is None or health.retry_at <= self._clock.now()

    def note_failure(self, name: UpstreamId) -> bool:
        """Leave out an upstream for a while; tell whether it was in use."""
        health = self._health.setdefault(name, Health())
        self._follow_share(health, 1)
        was_sound = health.retry_at <= self._clock.now()
        pause_s = min(RETRY_LONGEST_S, RETRY_FIRST_S * 2**health.failures)
        health.failures = min(health.failures + 1, 8)
        health.retry_at = self._clock.now() + pause_s
        return was_sound

    def note_success(self, name: UpstreamId) -> bool:
        """Use an upstream again; tell whether it had been left out."""
        health = self._health.get(name)
        if health is None:
            return False
        self._follow_share(health, 0)
        was_left_out = bool(health.failures)
        health.failures = 0
        health.retry_at = 0
        if health.share < FOLLOW / 10:
            self._health.pop(name)
        return was_left_out

    def note_error(self, name: UpstreamId) -> None:
        """Note an answer that is a failure, of an upstream that is up."""
        self._follow_share(self._health.setdefault(name, Health()), 1)

    def failing_share(self, name: UpstreamId) -> float:
        """Return about the share of an upstream's answers that fail."""
        health = self._health.get(name)
        return 0 if health is None else self._faded(health)

    def failures(self, name: UpstreamId) -> int:
        """Return how often in a row the upstream has failed."""
        health = self._health.get(name)
        return 0 if health is None else health.failures

    def _follow_share(self, health: Health, failed: int) -> None:
        faded = self._faded(health)
        health.share = faded + FOLLOW * (failed - faded)
        health.noted_s = self._clock.now()

    def _faded(self, health: Health) -> float:
        passed_s = self._clock.now() - health.noted_s
        return float(health.share * 0.5 ** (passed_s / FORGET_HALF_S))
