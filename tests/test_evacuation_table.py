"""Tests of how versions of evacuations are merged."""

from collections.abc import Iterable, Sequence
from typing import TypeAlias

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.ids import DataCentreId
from figspread.policy.evacuations import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    EvacuationFact,
    EvacuationTable,
    evacuation_retry_after_s,
)
from figspread.policy.store_version import find_era, make_version

GRACE_S = 2.0
CENTRES = tuple(map(DataCentreId, 'abc'))
FIRST, SECOND, _ = CENTRES
_Objects: TypeAlias = dict[DataCentreId, int]


class Row(msgspec.Struct, frozen=True):
    """One change in the store."""

    data_centre: DataCentreId
    fact: EvacuationFact


class Listing(msgspec.Struct, frozen=True):
    """All records of the store at `version`, with the version of each."""

    listed: _Objects
    version: int


class Store:
    """The records of the store, with all rows and listings since its start."""

    def __init__(self) -> None:
        """Start empty."""
        self._era = 1
        self._revision = 10
        self._revisions: _Objects = {}
        self.rows: list[Row] = []
        self.listings: list[Listing] = [self.list_all()]

    @property
    def evacuated(self) -> set[DataCentreId]:
        """The data centres that are evacuated."""
        return set(self._revisions)

    def list_all(self) -> Listing:
        """Return a listing of all records."""
        return Listing(
            {
                name: make_version(self._era, revision)
                for name, revision in self._revisions.items()
            },
            make_version(self._era, self._revision),
        )

    def switch(self, data_centre: DataCentreId) -> None:
        """Write the record of a data centre, or delete it if there is one."""
        self._revision += 1
        has_ended = data_centre in self._revisions
        if has_ended:
            self._revisions.pop(data_centre)
        else:
            self._revisions[data_centre] = self._revision
        version = make_version(self._era, self._revision)
        self.rows.append(Row(data_centre, EvacuationFact(version, has_ended)))
        self.listings.append(self.list_all())

    def go_back(self, earlier: Listing, revision: int) -> None:
        """Come back from a copy at `revision`, with a new era."""
        self._era += 1
        self._revision = revision
        self._revisions = {
            name: version - make_version(find_era(version), 0)
            for name, version in earlier.listed.items()
        }
        self.listings.append(self.list_all())


def _merge(
    table: EvacuationTable, heard: Iterable[Row | Listing], now: float = 0
) -> None:
    for news in heard:
        match news:
            case Row():
                table.merge(news.data_centre, news.fact, now)
            case Listing():
                table.merge_listing(news.listed, news.version, now)


def _evacuated(table: EvacuationTable) -> set[DataCentreId]:
    return set(filter(table.is_evacuated, CENTRES))


def _make_store(before: Sequence[DataCentreId], since: int) -> Store:
    store = Store()
    for name in before:
        store.switch(name)
    if since < len(store.listings):
        store.go_back(store.listings[since], 10 + since)
    return store


_STORES = st.builds(
    _make_store,
    st.lists(st.sampled_from(CENTRES), max_size=8),
    st.integers(0, 10),
)


@given(_STORES, st.lists(st.sampled_from(CENTRES), max_size=6), st.data())
@settings(max_examples=400)
def test_entries_agree_with_the_store_in_any_order(
    store: Store, since: Sequence[DataCentreId], draw: st.DataObject
) -> None:
    """Guard against an order of news after which an entry keeps a wrong state.

    The newest listing is among the news, others may be missing or repeated.
    """
    for name in since:
        store.switch(name)
    news: list[Row | Listing] = [*store.rows, *store.listings]
    heard = draw.draw(st.lists(st.sampled_from(news), max_size=20))
    heard.insert(draw.draw(st.integers(0, len(heard))), store.listings[-1])
    table = EvacuationTable(GRACE_S)
    _merge(table, heard)
    table.end_missing(GRACE_S)
    assert _evacuated(table) == store.evacuated


@given(st.lists(st.sampled_from(CENTRES), max_size=8), st.data())
@settings(max_examples=200)
def test_rows_alone_suffice_in_any_order(
    changes: Sequence[DataCentreId], draw: st.DataObject
) -> None:
    """Guard against an entry that only hears peers and differs from them."""
    store = Store()
    for name in changes:
        store.switch(name)
    heard = draw.draw(st.permutations(store.rows))
    table = EvacuationTable(GRACE_S)
    _merge(table, [*heard, *heard])
    assert _evacuated(table) == store.evacuated


def test_what_a_peer_has_missed_is_not_believed() -> None:
    """Guard against a stale peer that brings an ended evacuation back."""
    store = Store()
    store.switch(FIRST)
    store.switch(FIRST)
    table = EvacuationTable(GRACE_S)
    _merge(table, (store.listings[-1], store.rows[0]))
    assert not _evacuated(table)
    # The end has a version of its own, which corrects the peer.
    assert dict(table.list_facts())[FIRST].version > store.rows[0].fact.version


def test_record_that_a_restored_store_lacks_holds_for_the_grace_period() -> (
    None
):
    """Guard against load during an evacuation after the store went back."""
    store = Store()
    store.switch(FIRST)
    table = EvacuationTable(GRACE_S)
    _merge(table, (store.listings[-1],))
    store.go_back(store.listings[0], 10)
    _merge(table, (store.listings[-1],), now=5)
    table.end_missing(5 + GRACE_S / 2)
    assert _evacuated(table) == {FIRST}
    store.switch(SECOND)
    _merge(table, (store.listings[-1],), now=5 + GRACE_S / 2)
    assert _evacuated(table) == {FIRST, SECOND}
    table.end_missing(5 + GRACE_S)
    assert _evacuated(table) == {SECOND}


def test_record_that_is_written_again_in_time_never_ends() -> None:
    """Guard against an end in between when the operator's objects are back."""
    store = Store()
    store.switch(FIRST)
    table = EvacuationTable(GRACE_S)
    _merge(table, (store.listings[-1],))
    store.go_back(store.listings[0], 10)
    _merge(table, (store.listings[-1],))
    store.switch(FIRST)
    _merge(table, (store.rows[-1],), now=GRACE_S / 2)
    table.end_missing(GRACE_S)
    assert _evacuated(table) == {FIRST}


def test_entry_that_starts_after_the_store_went_back_believes_its_peers() -> (
    None
):
    """Guard against a new entry that trusts a copy which lacks a record."""
    store = Store()
    store.switch(FIRST)
    store.go_back(store.listings[0], 10)
    table = EvacuationTable(GRACE_S)
    _merge(table, (store.listings[-1], store.rows[0]))
    assert _evacuated(table) == {FIRST}


def test_deletion_with_the_version_of_its_object_ends() -> None:
    """Guard against a store whose deletions carry the object's revision."""
    version = make_version(1, 12)
    rows = (
        Row(FIRST, EvacuationFact(version)),
        Row(FIRST, EvacuationFact(version, has_ended=True)),
    )
    for heard in (rows, tuple(reversed(rows))):
        table = EvacuationTable(GRACE_S)
        _merge(table, heard)
        assert not _evacuated(table)


def test_retry_time_is_bounded() -> None:
    """Guard against retries in vain, and against pauses without an end."""
    assert evacuation_retry_after_s(0) == MIN_RETRY_AFTER_S
    assert evacuation_retry_after_s(2) == 2
    assert evacuation_retry_after_s(600) == MAX_RETRY_AFTER_S
