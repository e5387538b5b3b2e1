"""Decides which data centres are evacuated, from versions of their records.

The record of the highest version holds, so entries that hear the same in any
order agree. A store that has come back from an older copy may have lost records,
which are written again within a grace period.
"""

from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

from figspread.ids import DataCentreId
from figspread.policy.store_version import find_era

# Evacuations last an unknown time, so callers come back after as long as this
# one has lasted. Longer pauses than a few seconds would exceed the time limits
# of most callers, shorter ones are retries in vain.
MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 5.0


class EvacuationFact(msgspec.Struct, frozen=True, order=True):
    """Whether an evacuation has ended, as of a `StoreVersion`.

    Facts are ordered by version. A deletion may carry the version of the object
    that it deletes, so the end is greater than the start of the same version.
    """

    version: int
    has_ended: bool = False


class EvacuationTable:
    """The newest fact of each data centre that was ever evacuated."""

    def __init__(self, grace_s: float) -> None:
        """Start without facts.

        A record that a store has lost by going back to a copy holds for
        `grace_s` longer.
        """
        self._grace_s = grace_s
        self._grace_end_s = float('-inf')
        self._facts: dict[DataCentreId, EvacuationFact] = {}
        # Evacuated, but not in the newest listing, which is of a newer era.
        self._missing: set[DataCentreId] = set()
        self._listed_version = 0

    def is_evacuated(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated."""
        fact = self._facts.get(data_centre)
        return fact is not None and not fact.has_ended

    def list_facts(self) -> Iterator[tuple[DataCentreId, EvacuationFact]]:
        """Yield the newest fact of each data centre."""
        yield from self._facts.items()

    def merge(
        self, data_centre: DataCentreId, fact: EvacuationFact, now: float
    ) -> None:
        """Merge what a change in the store or another entry says."""
        if not self._contradicts_listing(data_centre, fact):
            self._put(data_centre, fact)
        elif self._is_in_doubt(fact, now):
            if self._put(data_centre, fact):
                self._missing.add(data_centre)
        else:
            self._end(data_centre)

    def merge_listing(
        self,
        listed: Mapping[DataCentreId, int],
        version: int,
        now: float,
    ) -> None:
        """Merge all records of the store, with their versions, at `version`."""
        if version < self._listed_version:
            for told, told_version in listed.items():
                self.merge(told, EvacuationFact(told_version), now)
            return
        if find_era(version) > find_era(self._listed_version):
            self._grace_end_s = now + self._grace_s
        self._listed_version = version
        for data_centre, listed_version in listed.items():
            self._put(data_centre, EvacuationFact(listed_version))
        for known, fact in tuple(self._facts.items()):
            if known in listed or fact.has_ended or fact.version > version:
                continue
            if self._is_in_doubt(fact, now):
                self._missing.add(known)
            else:
                self._end(known)

    def end_missing(self, now: float) -> None:
        """End what the store has lost once the grace period is over."""
        if now >= self._grace_end_s:
            for data_centre in tuple(self._missing):
                self._end(data_centre)

    def _contradicts_listing(
        self, data_centre: DataCentreId, fact: EvacuationFact
    ) -> bool:
        """Return whether the newest listing should have had a record."""
        if fact.has_ended or fact.version > self._listed_version:
            return False
        is_listed = self.is_evacuated(data_centre)
        return not is_listed or data_centre in self._missing

    def _is_in_doubt(self, fact: EvacuationFact, now: float) -> bool:
        """Return whether the store may have lost a record that still holds."""
        is_older_era = find_era(fact.version) < find_era(self._listed_version)
        return is_older_era and now < self._grace_end_s

    def _end(self, data_centre: DataCentreId) -> None:
        self._put(data_centre, EvacuationFact(self._listed_version, True))

    def _put(self, data_centre: DataCentreId, fact: EvacuationFact) -> bool:
        """Keep a fact if it is newer than what is known; return whether."""
        known = self._facts.get(data_centre)
        is_newer = known is None or fact > known
        if is_newer:
            self._facts[data_centre] = fact
            self._missing.discard(data_centre)
        return is_newer


def evacuation_retry_after_s(lasted_s: float) -> float:
    """Return when to come back after an evacuation has lasted `lasted_s`.

    >>> evacuation_retry_after_s(0.2), evacuation_retry_after_s(3)
    (1.0, 3)
    """
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, lasted_s))
