"""Decides whether an upstream is cold, and how many requests it may get.

An upstream that starts during traffic tolerates few requests at first and
crashes well above that. Its record in the store says how long it stays cold,
but arrives after the start, and not at all while the store is unreachable.
"""

from enum import Enum
from typing import Final

import msgspec

# A record that was read this long after a sign of a restart was written after
# it: records reach entries within some tenths of a second.
RECORD_DELAY_S: Final = 1.0
# Longest time from an owner's permission until the request is sent, see
# `direct/requests/send_gate.py`. Requests allowed that long before a second
# begins may still arrive within it.
PERMIT_LIFE_S: Final = 0.3
# Requests that may be allowed at once, in seconds of the limit and at least.
BURST_S: Final = 0.25
MIN_BURST: Final = 2.0


class Temperature(Enum):
    """Whether an upstream takes all requests; treated alike unless warm."""

    COLD = 'cold'
    POSSIBLY_COLD = 'possibly cold'
    WARM = 'warm'


class ColdSource(Enum):
    """The fact that a verdict rests on."""

    RECORD = 'record'
    RESTART = 'restart'
    COPY = 'copy'
    EVACUATION = 'evacuation'
    NO_CONTACT = 'no contact'


class ColdFacts(msgspec.Struct, frozen=True):
    """What an entry knows of one incarnation of an upstream.

    Its newest record, read `record_age_s` ago, said that it stays cold for
    `cold_s`. It `is_copied` if the store has brought it back from an older copy.
    A connection to the upstream broke or was refused `restart_age_s` ago, and
    an evacuation of its data centre ended `evacuation_age_s` ago, if ever.
    `can_know` is false for an entry that reaches neither the store nor a peer.
    """

    cold_s: float = 0
    record_age_s: float = 0
    is_copied: bool = False
    restart_age_s: float | None = None
    evacuation_age_s: float | None = None
    can_know: bool = True


class ColdVerdict(msgspec.Struct, frozen=True):
    """The class of an upstream, and the source and age of the fact behind it."""

    temperature: Temperature
    source: ColdSource
    age_s: float = 0

    @property
    def is_limited(self) -> bool:
        """Return whether the cold limit applies."""
        return self.temperature is not Temperature.WARM


class ColdBound(msgspec.Struct, frozen=True):
    """The most requests that all entries may send a cold upstream in a second.

    `factor` times the requests a second that it tolerates, and `slack` more.
    """

    factor: float = 1
    slack: float = 0


class ColdLimit(msgspec.Struct, frozen=True):
    """The limit of a cold upstream, in requests a second of all entries.

    `per_s` is the mean rate, and `burst` the requests allowed at once.
    """

    per_s: float
    burst: float


def classify(facts: ColdFacts, duration_s: float) -> ColdVerdict:
    """Return the class of an upstream that is cold for `duration_s`.

    A record holds until it says itself that the upstream is warm. A sign of a
    restart holds until a record that was written after it, or until an upstream
    that started then would be warm: records of warm upstreams change rarely. A
    record from an older copy of the store holds until the next one.

    >>> classify(ColdFacts(cold_s=3, record_age_s=1), 3).temperature.value
    'cold'
    """
    if facts.record_age_s < facts.cold_s:
        return ColdVerdict(
            Temperature.COLD, ColdSource.RECORD, facts.record_age_s
        )
    restart_age_s = facts.restart_age_s
    if (
        restart_age_s is not None
        and restart_age_s < duration_s + RECORD_DELAY_S
        and facts.record_age_s + RECORD_DELAY_S > restart_age_s
    ):
        return ColdVerdict(
            Temperature.POSSIBLY_COLD, ColdSource.RESTART, restart_age_s
        )
    if facts.is_copied:
        return ColdVerdict(
            Temperature.POSSIBLY_COLD, ColdSource.COPY, facts.record_age_s
        )
    evacuation_age_s = facts.evacuation_age_s
    if evacuation_age_s is not None and evacuation_age_s < duration_s:
        return ColdVerdict(
            Temperature.POSSIBLY_COLD, ColdSource.EVACUATION, evacuation_age_s
        )
    if not facts.can_know:
        return ColdVerdict(
            Temperature.POSSIBLY_COLD,
            ColdSource.NO_CONTACT,
            facts.record_age_s,
        )
    return ColdVerdict(Temperature.WARM, ColdSource.RECORD, facts.record_age_s)


def plan_limit(requests_per_s: float, bound: ColdBound) -> ColdLimit:
    """Return the limit that keeps the bound in any one second.

    In one second arrive what is allowed in it, what was allowed in the permit's
    life before it, and one burst. The rate is `requests_per_s` if the bound has
    room for all that, else lower.

    >>> plan_limit(34, ColdBound(1.5, 5))
    ColdLimit(per_s=34, burst=8.5)
    """
    allowed = requests_per_s * bound.factor + bound.slack
    window_s = 1 + PERMIT_LIFE_S
    room = allowed - requests_per_s * window_s
    burst = max(1, min(max(MIN_BURST, requests_per_s * BURST_S), room))
    rate = min(requests_per_s, max(0, (allowed - burst) / window_s))
    return ColdLimit(rate, burst)
