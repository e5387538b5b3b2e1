"""Shares an upstream's stated rate limit among entries without a coordinator.

One entry, the owner of the upstream, lets the others send. Entries that see
the same members choose the same owner. Entries that are cut off from others
choose an owner of their own, so each owner allows only the part of the limit
that its members are of all known entries.
"""

import math
from collections.abc import Collection, Iterable
from typing import Final

import msgspec
import xxhash

from figspread.ids import PeerId, UpstreamId

# An entry that was lost this long ago is taken as removed. Until then it may be
# cut off and send requests.
FORGET_ENTRY_S: Final = 20.0
# The same for the limits of cold upstreams, which crash above them. A cut may
# last for minutes, and a lost entry costs its part of these limits only.
FORGET_COLD_S: Final = 600.0
# Entries that an entry takes to exist which has not seen the list of them: as
# many as the largest deployment has (docs/CONTRIBUTING.md).
ASSUMED_ENTRIES: Final = 330
# An owner allows nothing during its first second, in which a previous owner may
# still allow requests.
HANDOVER_S: Final = 1.0
# Allowed requests that may follow each other at once: in seconds of the limit,
# and at least.
BURST_S: Final = 0.25
MIN_BURST: Final = 2.0
# An owner without all entries allows no bursts: a request that it allows must
# follow within this time.
PARTIAL_BURST_S: Final = 1.0
# Rate for upstreams that state a lower limit, or none at all: without any
# request an entry would not hear of the end of the limit.
MIN_RATE: Final = 0.2
# An owner without all entries allows this much more than its part, since most
# lost entries have ended. The users accept half as much again as the limit.
PARTIAL_FACTOR: Final = 1.25


# An owner without all entries grants permits only to those that have asked it
# within this time; the others may be asking another owner.
ASKER_TTL_S: Final = 2.0


class OwnerTerms(msgspec.Struct, frozen=True):
    """How an owner allows the requests of a limit.

    At most `burst` at once. Without all entries it allows `partial_factor` times
    its part, and a request must follow within `lapse_s`. A `is_strict` limit
    counts also which entries ask, since two owners may see most of the others.
    """

    burst: float = float('inf')
    partial_factor: float = PARTIAL_FACTOR
    lapse_s: float = PARTIAL_BURST_S
    is_strict: bool = False


STATED_TERMS: Final = OwnerTerms()


def make_cold_terms(burst: float) -> OwnerTerms:
    """Return the terms of a cold upstream's limit, which must not be exceeded.

    Entries that are cut off have no means to take turns, so that each part of
    the limit has to be used soon or not at all.
    """
    return OwnerTerms(burst, partial_factor=1, lapse_s=0.1, is_strict=True)


def choose_owner(members: Iterable[PeerId], upstream: UpstreamId) -> PeerId:
    """Return the member that owns an upstream, by rendezvous hash.

    >>> choose_owner([PeerId('a'), PeerId('b')], UpstreamId('e-1')) in 'ab'
    True
    """
    return max(
        members,
        key=lambda member: xxhash.xxh3_64_intdigest(
            '{0}/{1}'.format(member, upstream).encode()
        ),
    )


class EntryCensus:
    """Tells which part of all known entries is connected."""

    def __init__(self) -> None:
        """Start without other entries."""
        self._seen_s: dict[str, float] = {}
        self._connected = 0

    def update(
        self,
        now: float,
        connected: Collection[str],
        dialled: Collection[str],
    ) -> None:
        """Record the addresses of entries that are connected and dialled.

        An address that was never connected counts from when it was first
        dialled.
        """
        for address in dialled:
            self._seen_s.setdefault(address, now)
        self._seen_s.update(dict.fromkeys(connected, now))
        self._connected = len(connected)

    def forget(self, address: str) -> None:
        """Forget an entry that has said that it ends."""
        self._seen_s[address] = float('-inf')

    def share(self, now: float, forget_s: float = FORGET_ENTRY_S) -> float:
        """Return the connected share of all known entries, with this one."""
        return (1 + self._connected) / self.count(now, forget_s)

    def count(self, now: float, forget_s: float = FORGET_ENTRY_S) -> int:
        """Return the number of known entries, with this one."""
        known = sum(seen_s > now - forget_s for seen_s in self._seen_s.values())
        return 1 + max(known, self._connected)


class RateAllowance:
    """The requests that the owner of an upstream still allows.

    `began_s` is the clock time at which the entry became the owner. `credit`,
    a random number from 0 to 1, keeps owners that began at the same moment,
    after a cut, from allowing their first requests at the same moment.
    """

    def __init__(
        self, began_s: float, credit: float, updated_s: float | None = None
    ) -> None:
        """Start with that part of a request, at `updated_s` or `began_s`."""
        self._opens_s = began_s + HANDOVER_S
        self._updated_s = began_s if updated_s is None else updated_s
        self._credit = credit
        self._asked_s: dict[PeerId, float] = {}

    def record_asker(self, now: float, asker: PeerId) -> None:
        """Record that an entry asks for a request."""
        self._asked_s[asker] = now

    def is_asked_for(self, now: float) -> bool:
        """Return whether an entry has asked lately."""
        return any(
            asked_s > now - ASKER_TTL_S for asked_s in self._asked_s.values()
        )

    def share_of_askers(self, now: float, members: int) -> float:
        """Return which part of the `members` have asked lately."""
        self._asked_s = {
            asker: asked_s
            for asker, asked_s in self._asked_s.items()
            if asked_s > now - ASKER_TTL_S
        }
        return min(1, len(self._asked_s) / members)

    def take(
        self,
        now: float,
        rate_limit: float,
        share: float,
        terms: OwnerTerms = STATED_TERMS,
    ) -> float:
        """Allow one request; return 0, or the seconds until one is allowed."""
        part = min(1, share * terms.partial_factor)
        rate = max(MIN_RATE, rate_limit) * part
        self._credit += rate * (now - self._updated_s)
        self._updated_s = now
        if share < 1 and self._credit > 1:
            # Requests that were allowed longer ago have lapsed.
            fraction, _ = math.modf(self._credit)
            lapsed = fraction > rate * terms.lapse_s
            self._credit = fraction if lapsed else 1 + fraction
        burst = min(terms.burst, max(MIN_BURST, rate * BURST_S))
        self._credit = min(burst, self._credit)
        if now < self._opens_s:
            return self._opens_s - now
        if self._credit < 1:
            return (1 - self._credit) / rate
        self._credit -= 1
        return 0
