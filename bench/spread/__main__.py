"""Command that measures how long configurations take to reach all processes."""

import sys
import threading
import time
from collections.abc import Sequence
from functools import partial
from typing import Final

import click
import msgspec
from tabulate import tabulate

from bench.spread.peers import (
    DEFAULT_HEARTBEAT_S,
    SILENCE_HEARTBEATS,
    ConfigHistory,
    SpreadAgents,
    SpreadEntry,
    wait_until,
)
from figspread.config.fleet import (
    DataCentre,
    EngineRecord,
    Fleet,
    Pool,
    Workspace,
)
from figspread.duties.commit import Committed, commit
from figspread.duties.head import NoteText
from figspread.entry.loop import LoopThread
from figspread.http.client import ClientPool
from figspread.http.server import ListenOptions
from figspread.ids import (
    DataCentreId,
    ModelName,
    NoteId,
    PeerId,
    PoolId,
    RegionId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.connection import Timeouts
from figspread.platform.objects import HttpObjectStore
from figspread.standins.faults import ObjectFaults
from figspread.standins.objects import ObjectStandIn

TARGET_S: Final = 4.0
START_TIMEOUT_S: Final = 60.0
APPLY_TIMEOUT_S: Final = 20.0
DATA_CENTRES: Final = 4
ENTRY_SHARE: Final = 0.4
IDLE_S: Final = 5.0
_POOL: Final = PoolId('pool')
_CENTRES: Final = tuple(
    DataCentreId('mu-{0}'.format(number)) for number in range(DATA_CENTRES)
)
_HEADERS: Final = (
    'processes',
    'entries',
    'watchers',
    'case',
    'notes',
    'in force p50 s',
    'in force most s',
    'later than 4 s',
    'gone back',
    'store calls a note',
    'quiet store calls/s',
)


class SpreadRun:
    """A fleet of `processes` entries and agents over a stand-in store."""

    def __init__(self, processes: int, timeouts: Timeouts) -> None:
        """Start the store, the agents and the entries; wait for all links."""
        self._timeouts = timeouts
        entries = max(2, int(processes * ENTRY_SHARE))
        self.processes = processes
        self._loop = LoopThread()
        self._loop.start()
        self.store = ObjectStandIn(ListenOptions('127.0.0.1', 0, threads=128))
        self.store.start()
        self._client = HttpObjectStore(
            self.store.url,
            timeout_s=2,
            pool=ClientPool(),
        )
        self._agents = SpreadAgents(processes - entries, timeouts)
        self._fleet = _make_fleet(self._agents.start())
        self.entries = self._make_entries(entries)
        self.apply_note()
        for entry in self.entries:
            entry.start()
        assert wait_until(self._is_connected, START_TIMEOUT_S)

    @property
    def all_histories(self) -> Sequence[ConfigHistory]:
        """The configuration histories of all entries and agents."""
        return [
            *(entry.history for entry in self.entries),
            *self._agents.histories,
        ]

    def apply_note(self) -> int:
        """Commit a note that adds a workspace.

        Returns the number of the new configuration.
        """
        number = self._fleet.number + 1
        workspace = Workspace(WorkspaceId('w-{0}'.format(number)), ())
        changed = msgspec.structs.replace(
            self._fleet,
            workspaces={
                **self._fleet.workspaces,
                workspace.workspace: workspace,
            },
        )
        note = NoteText(NoteId('note-{0}'.format(number)), '')
        outcome = commit(
            self._client,
            changed,
            note=note,
            against=self._fleet.number,
        )
        assert outcome == Committed(number), outcome
        self._fleet = msgspec.structs.replace(changed, number=number)
        return number

    def is_in_force(self, number: int) -> bool:
        """Return whether all processes apply `number` or a later one."""
        return all(
            history.holder.fleet.number >= number
            for history in self.all_histories
        )

    def count_calls(self) -> int:
        """Return the number of calls that the store has received."""
        return sum(self.store.faults.counts().values())

    def stop(self) -> None:
        """Stop entries and agents, then the event loop and the store."""
        for entry in self.entries:
            entry.stop()
        self._agents.stop()
        self._loop.stop()
        self.store.stop()

    def _make_entries(self, count: int) -> Sequence[SpreadEntry]:
        names = ['entry-{0}'.format(number) for number in range(count)]
        return [
            SpreadEntry(
                name,
                [
                    PeerId(peer)
                    for peer in names[index % DATA_CENTRES :: DATA_CENTRES]
                ],
                _CENTRES[index % DATA_CENTRES],
                loop=self._loop,
                store_url=self.store.url,
                timeouts=self._timeouts,
            )
            for index, name in enumerate(names)
        ]

    def _is_connected(self) -> bool:
        agents = self.processes - len(self.entries)
        return all(entry.count_open_links() == agents for entry in self.entries)


def _make_fleet(agents: Sequence[str]) -> Fleet:
    region = RegionId('mu')
    return Fleet(
        data_centres={
            centre: DataCentre(centre, region) for centre in _CENTRES
        },
        pools={_POOL: Pool(_POOL, (ModelName('m'),))},
        engines={
            UpstreamId('engine-{0}'.format(index)): EngineRecord(
                UpstreamId('engine-{0}'.format(index)),
                _POOL,
                _CENTRES[index % DATA_CENTRES],
                address,
                'http://127.0.0.1:1',
                1000,
                1e6,
            )
            for index, address in enumerate(agents)
        },
    )


def _measure(
    run: SpreadRun, case: str, faults: ObjectFaults, notes: int
) -> list[object]:
    run.store.faults.faults = faults
    idle_calls = run.count_calls()
    threading.Event().wait(IDLE_S)
    idle_calls = run.count_calls() - idle_calls
    before = run.count_calls()
    started = time.monotonic()
    delays_s: list[float] = []
    for _ in range(notes):
        applied_at = time.monotonic()
        number = run.apply_note()
        wait_until(partial(run.is_in_force, number), APPLY_TIMEOUT_S)
        latest = max(
            history.times.get(number, applied_at + APPLY_TIMEOUT_S)
            for history in run.all_histories
        )
        delays_s.append(latest - applied_at)
    elapsed_s = time.monotonic() - started
    note_calls = run.count_calls() - before - idle_calls / IDLE_S * elapsed_s
    return [
        run.processes,
        len(run.entries),
        sum(entry.is_watcher for entry in run.entries),
        case,
        notes,
        '{0:.3f}'.format(sorted(delays_s)[len(delays_s) // 2]),
        '{0:.3f}'.format(max(delays_s)),
        sum(1 for delay_s in delays_s if delay_s > TARGET_S),
        sum(history.has_regressed for history in run.all_histories),
        '{0:.1f}'.format(note_calls / notes),
        '{0:.1f}'.format(idle_calls / IDLE_S),
    ]


@click.command()
@click.option(
    '--processes',
    type=click.IntRange(4, 100),
    multiple=True,
    default=(20, 50, 100),
    show_default=True,
)
@click.option('--notes', type=click.IntRange(1, 100), default=20)
@click.option(
    '--heartbeat-s',
    type=click.FloatRange(0.1, 60),
    default=DEFAULT_HEARTBEAT_S,
    show_default=True,
)
def main(processes: Sequence[int], notes: int, heartbeat_s: float) -> None:
    """Measure the time until a note is in force in all processes."""
    rows = []
    for size in processes:
        run = SpreadRun(
            size,
            Timeouts(
                heartbeat_s=heartbeat_s,
                silence_s=heartbeat_s * SILENCE_HEARTBEATS,
            ),
        )
        try:
            rows.append(_measure(run, 'ordinary', ObjectFaults(), notes))
            lossy = ObjectFaults(lose_watch_events=True)
            rows.append(_measure(run, 'watch events lost', lossy, notes // 4))
        finally:
            run.stop()
    click.echo(
        tabulate(rows, _HEADERS, tablefmt='github', disable_numparse=True)
    )
    sys.exit(any(row[7] or row[8] for row in rows))


if __name__ == '__main__':
    main()
