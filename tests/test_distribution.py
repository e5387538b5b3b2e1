"""New configurations reach the watching processes despite store faults."""

import random
import threading
from collections.abc import Iterator

import pytest
from bench.fakes import CallFault, FakeStore
from result import Ok

from figspread.config.document import load_fleet
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.duties.cleanup import DOCUMENTS_KEPT, DocumentCleanUp
from figspread.duties.commit import Committed, commit
from figspread.duties.distribution import (
    BACKOFF_LIMIT_S,
    IDLE_INTERVAL_S,
    WATCHERS_PER_DATA_CENTRE,
    FleetWatcher,
    is_watcher,
    load_newest,
)
from figspread.duties.head import DOCUMENT_KIND, HISTORY_LENGTH, NoteText
from figspread.http.client import ClientPool
from figspread.http.server import ListenOptions
from figspread.ids import NoteId, PeerId
from figspread.platform.objects import HttpObjectStore
from figspread.platform.types import ObjectStore
from figspread.standins.faults import ObjectFaults
from figspread.standins.objects import ObjectStandIn

POLL_INTERVAL_S = 0.01


def _commit(store: ObjectStore, number: int) -> None:
    note = NoteText(NoteId('note-{0}'.format(number)), '')
    outcome = commit(store, Fleet(), note=note, against=number - 1)
    assert outcome == Committed(number)


def _watcher(store: ObjectStore, holder: FleetHolder) -> FleetWatcher:
    return FleetWatcher(store, holder, rng=random.Random(1))


def test_round_loads_newest_configuration() -> None:
    """Configurations committed in between are skipped.

    A round without news makes two calls to the store.
    """
    store = FakeStore()
    holder = FleetHolder()
    watcher = _watcher(store, holder)
    assert load_newest(store) == Ok(None)
    assert watcher.run_round() == 0
    _commit(store, 1)
    _commit(store, 2)
    assert watcher.run_round() == 0
    assert holder.fleet.number == 2
    assert load_fleet(holder.document) == Ok(holder.fleet)
    calls = store.calls
    assert watcher.run_round() == 0
    assert store.calls - calls == 2


def test_rounds_back_off_during_outage() -> None:
    """The jittered delay grows to a limit and ends with the outage."""
    store = FakeStore()
    watcher = _watcher(store, FleetHolder())
    store.plan = [CallFault.DOWN for _ in range(40)]
    waits = [watcher.run_round() for _ in range(40)]
    assert waits[0] < BACKOFF_LIMIT_S / 5
    assert max(waits) <= 1.5 * BACKOFF_LIMIT_S
    assert min(waits[8:]) > 0
    assert len(set(waits)) > 30
    assert watcher.run_round() == 0


def test_failed_document_read_is_retried() -> None:
    """A head whose document can't be read changes no configuration."""
    store = FakeStore()
    holder = FleetHolder()
    watcher = _watcher(store, holder)
    _commit(store, 1)
    store.plan = [None, CallFault.DOWN]
    assert watcher.run_round() > 0
    assert holder.fleet.number == 0
    assert watcher.run_round() == 0
    assert holder.fleet.number == 1


def test_process_not_needed_makes_no_call() -> None:
    """Each waiting watch counts as a call to the store."""
    store = FakeStore()
    watcher = FleetWatcher(
        store,
        FleetHolder(),
        rng=random.Random(1),
        is_needed=threading.Event().is_set,
    )
    assert watcher.run_round() == IDLE_INTERVAL_S
    assert store.calls == 0


@pytest.mark.parametrize('count', [1, 2, 3, 200])
def test_two_peers_of_a_data_centre_watch(count: int) -> None:
    """All peers choose the same ones, also after another peer is lost."""
    peers = [PeerId('peer-{0}'.format(number)) for number in range(count)]
    watchers = {peer for peer in peers if is_watcher(peer, peers)}
    assert len(watchers) == min(count, WATCHERS_PER_DATA_CENTRE)
    gone = set(peers) - watchers
    for peer in watchers:
        assert is_watcher(peer, watchers | set(sorted(gone)[1:]))


@pytest.fixture
def standin() -> Iterator[ObjectStandIn]:
    """A running stand-in of the Object API without objects."""
    started = ObjectStandIn(ListenOptions('127.0.0.1', 0, threads=6))
    started.start()
    yield started
    started.stop()


def test_watcher_thread_follows_store_through_faults(
    standin: ObjectStandIn,
) -> None:
    """Lost events, refusals and an outage only delay a configuration."""
    store = HttpObjectStore(
        standin.url,
        timeout_s=2,
        pool=ClientPool(),
    )
    holder = FleetHolder()
    arrived = threading.Semaphore(0)
    holder.subscribe(lambda _: arrived.release())
    watcher = FleetWatcher(store, holder, rng=random.Random(1), wait_s=0.5)
    watcher.start()
    for number, faults in enumerate(
        (
            ObjectFaults(),
            ObjectFaults(lose_watch_events=True),
            ObjectFaults(refuse_rate=0.2),
        ),
        1,
    ):
        standin.faults.faults = ObjectFaults()
        _commit(store, number)
        standin.faults.faults = faults
        assert arrived.acquire(timeout=10)
        assert holder.fleet.number == number
    standin.faults.faults = ObjectFaults(down=True)
    before = sum(standin.faults.counts().values())
    # Each call from now on meets the outage; two show that the first failed.
    while sum(standin.faults.counts().values()) < before + 2:
        threading.Event().wait(POLL_INTERVAL_S)
    standin.faults.faults = ObjectFaults()
    _commit(store, 4)
    assert arrived.acquire(timeout=10)
    watcher.stop()
    assert holder.fleet.number == 4


class _HeldLease:
    def is_held(self) -> bool:
        return True


def test_old_configurations_are_deleted() -> None:
    """The newest are kept, and the next round resumes after a fault."""
    store = FakeStore()
    for number in range(1, DOCUMENTS_KEPT + 6):
        _commit(store, number)
    clean_up = DocumentCleanUp(store, _HeldLease())
    store.plan = [None, None, None, None, CallFault.ANSWER_LOST]
    assert clean_up.run_round() == 1
    assert clean_up.run_round() == 4
    assert clean_up.run_round() == 0
    left = store.table.list_all(DOCUMENT_KIND).objects
    assert len(left) == DOCUMENTS_KEPT
    assert load_newest(store).is_ok()


def test_documents_older_than_the_history_are_deleted() -> None:
    """A clean-up that starts late finds documents that the history lost."""
    store = FakeStore()
    commits = HISTORY_LENGTH + DOCUMENTS_KEPT
    for number in range(1, commits + 1):
        _commit(store, number)
    clean_up = DocumentCleanUp(store, _HeldLease())
    assert clean_up.run_round() == commits - DOCUMENTS_KEPT
    left = store.table.list_all(DOCUMENT_KIND).objects
    assert len(left) == DOCUMENTS_KEPT
    assert clean_up.run_round() == 0
