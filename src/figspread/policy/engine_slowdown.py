"""Slowdown of engines relative to their published figures.

Load reports of engines lag and cost a call each, whereas what streams that pass
through this process show can be measured for free: the gaps between their
events and the time to their first token. Each measurement bounds the slowdown
factor. The measured time divided by the shortest expected one is the highest
possible factor. Without the time that the network may have added, and divided by
the longest expected one, with all known work of the engine, it is the lowest.
"""

import random
from collections import deque
from typing import Final

import msgspec

from figspread.clock import Clock
from figspread.policy.notices import Incarnation

# Length of a measuring window. The local ratio is the smallest ratio of a
# measured to an expected gap in the current and the previous window.
WINDOW_S: Final = 1.5
# Smaller ratios are attributed to jitter of the network and the clocks.
SLOWDOWN_THRESHOLD: Final = 1.3
# Successive measurements that have to show a slowdown, since one may be
# delayed by the network or by this process.
CONFIRMATIONS: Final = 2
# Time that the network and this process may add to a gap, and to the time to a
# first token, without the engine being slow.
GAP_SLACK_S: Final = 0.01
FIRST_TOKEN_SLACK_S: Final = 0.02
# Measurements that are further apart don't confirm each other.
CONFIRMATION_TTL_S: Final = 5.0
# A confirmed factor holds for this time, and up to twice as long: each entry
# draws its own hold time, so that entries don't try an engine again all at once.
HOLD_S: Final = 4.0
# After the hold time the excess over 1 is halved in each such interval.
DECAY_HALF_LIFE_S: Final = 4.0
_INFINITY: Final = float('inf')
# Requests that don't try an engine again are placed by the factor without decay,
# for this time.
FORGET_S: Final = 30.0
# A first token that comes earlier than this share of the published time shows
# that a part of the prompt was not read, rather than the engine's speed.
MIN_FIRST_TOKEN_RATIO: Final = 0.8


class Measurement(msgspec.Struct, frozen=True, order=True):
    """A confirmed factor, measured at the clock time `measured_s`."""

    measured_s: float
    factor: float


class _Window(msgspec.Struct):
    started_at_s: float
    min_ratio: float = _INFINITY
    previous_min_ratio: float = _INFINITY


class _Engine(msgspec.Struct):
    window: _Window
    hold_s: float
    measured: Measurement | None = None
    suspicions: deque[Measurement] = msgspec.field(
        default_factory=lambda: deque(maxlen=CONFIRMATIONS)
    )


class EngineSlowdowns:
    """Slowdown factors of incarnations of engines; 1 is the published speed.

    A factor is local, from gaps that may include other work, or confirmed, from
    measurements that no known work explains. Only confirmed ones are shared.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start with all engines at their published speed.

        `rng` draws hold times.
        """
        self._clock = clock
        self._rng = rng
        self._engines: dict[Incarnation, _Engine] = {}

    def record_gap(
        self,
        run: Incarnation,
        gap_s: float,
        shortest_s: float,
        longest_s: float = _INFINITY,
    ) -> None:
        """Record a gap between two events and the expected range.

        `longest_s` is infinite if work that lengthens the gap may be unknown.
        """
        window = self._get_or_add(run).window
        self._rotate(window)
        window.min_ratio = min(window.min_ratio, gap_s / shortest_s)
        self._record_bounds(
            run, (gap_s - GAP_SLACK_S) / longest_s, gap_s / shortest_s
        )

    def record_first_token(
        self,
        run: Incarnation,
        elapsed_s: float,
        shortest_s: float,
        longest_s: float = _INFINITY,
    ) -> None:
        """Record the time to a first token and the expected range."""
        if elapsed_s >= shortest_s * MIN_FIRST_TOKEN_RATIO:
            self._record_bounds(
                run,
                (elapsed_s - FIRST_TOKEN_SLACK_S) / longest_s,
                elapsed_s / shortest_s,
            )

    def merge(self, run: Incarnation, measured: Measurement) -> None:
        """Take over a peer's measurement if it is newer than the known one.

        The result doesn't depend on the order of calls.
        """
        engine = self._get_or_add(run)
        if engine.measured is None or measured > engine.measured:
            engine.measured = measured

    def knows(self, run: Incarnation) -> bool:
        """Return whether anything was measured of an incarnation."""
        return run in self._engines

    def local_of(self, run: Incarnation) -> float:
        """Return the factor of this entry's recent gaps, or 1."""
        engine = self._engines.get(run)
        if engine is None:
            return 1
        self._rotate(engine.window)
        ratio = min(engine.window.min_ratio, engine.window.previous_min_ratio)
        is_slow = SLOWDOWN_THRESHOLD < ratio < _INFINITY
        return ratio if is_slow else 1

    def held_of(self, run: Incarnation) -> float:
        """Return the confirmed factor without decay, or 1."""
        engine = self._engines.get(run)
        if engine is None or engine.measured is None:
            return 1
        age_s = self._clock.now() - engine.measured.measured_s
        is_slow = engine.measured.factor > SLOWDOWN_THRESHOLD
        return engine.measured.factor if is_slow and age_s < FORGET_S else 1

    def confirmed_of(self, run: Incarnation) -> float:
        """Return the confirmed factor, decayed by its age, or 1."""
        engine = self._engines.get(run)
        if engine is None or engine.measured is None:
            return 1
        age_s = self._clock.now() - engine.measured.measured_s
        decay_s = max(0, age_s - engine.hold_s)
        excess = engine.measured.factor - 1
        factor = 1 + excess * 0.5 ** (decay_s / DECAY_HALF_LIFE_S)
        return factor if factor > SLOWDOWN_THRESHOLD else 1

    def find_measurement(self, run: Incarnation) -> Measurement | None:
        """Return the newest confirmed factor without decay, if any."""
        engine = self._engines.get(run)
        return None if engine is None else engine.measured

    def list_runs(self) -> list[Incarnation]:
        """Return the incarnations of which anything is known."""
        return list(self._engines)

    def drop(self, run: Incarnation) -> None:
        """Forget an incarnation."""
        self._engines.pop(run, None)

    def _record_bounds(
        self, run: Incarnation, lowest: float, highest: float
    ) -> None:
        now = self._clock.now()
        engine = self._get_or_add(run)
        if highest <= SLOWDOWN_THRESHOLD:
            engine.suspicions.clear()
            engine.measured = Measurement(now, 1)
            return
        if highest < self.confirmed_of(run):
            engine.measured = Measurement(now, highest)
        if lowest == 0:
            return
        if lowest <= SLOWDOWN_THRESHOLD:
            engine.suspicions.clear()
            return
        engine.suspicions.append(Measurement(now, lowest))
        oldest = engine.suspicions[0]
        is_confirmed = len(engine.suspicions) == CONFIRMATIONS
        if is_confirmed and now - oldest.measured_s <= CONFIRMATION_TTL_S:
            factor = min(seen.factor for seen in engine.suspicions)
            engine.measured = Measurement(now, factor)

    def _get_or_add(self, run: Incarnation) -> _Engine:
        engine = self._engines.get(run)
        if engine is None:
            engine = _Engine(
                _Window(self._clock.now()),
                self._rng.uniform(HOLD_S, 2 * HOLD_S),
            )
            self._engines[run] = engine
        return engine

    def _rotate(self, window: _Window) -> None:
        elapsed_windows = (self._clock.now() - window.started_at_s) // WINDOW_S
        if elapsed_windows >= 1:
            window.previous_min_ratio = (
                window.min_ratio if elapsed_windows < 2 else _INFINITY
            )
            window.min_ratio = _INFINITY
            window.started_at_s += elapsed_windows * WINDOW_S
