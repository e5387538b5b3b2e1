"""Applies notes one after the other and prints when all have them."""

import sys
import threading
import time
from collections.abc import Sequence
from functools import partial
from typing import Final

import click
import msgspec
import urllib3
from tabulate import tabulate

from bench.spread.peers import (
    DEFAULT_HEARTBEAT_S,
    SILENT_HEARTBEATS,
    InForce,
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
START_LIMIT_S: Final = 60.0
LOOK_LIMIT_S: Final = 20.0
DATA_CENTRES: Final = 4
ENTRY_SHARE: Final = 0.4
QUIET_S: Final = 5.0
_POOL: Final = PoolId('pool')
_CENTRES: Final = tuple(
    DataCentreId('mu-{0}'.format(one)) for one in range(DATA_CENTRES)
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


class Run:
    """A fleet of one size over a stand-in store."""

    def __init__(self, processes: int, timeouts: Timeouts) -> None:
        """Start the store, the agents and the entries."""
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
            pool=urllib3.PoolManager(),
        )
        self._agents = SpreadAgents(processes - entries, timeouts)
        self._fleet = _make_fleet(self._agents.start())
        self.entries = self._make_entries(entries)
        self.apply()
        for entry in self.entries:
            entry.start()
        assert wait_until(self._is_connected, START_LIMIT_S)

    @property
    def all(self) -> Sequence[InForce]:
        """All processes."""
        return [*(one.in_force for one in self.entries), *self._agents.in_force]

    def apply(self) -> int:
        """Apply a note that adds a workspace; return its number."""
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
        """Tell whether all processes have `number`."""
        return all(one.holder.fleet.number >= number for one in self.all)

    def count_calls(self) -> int:
        """Return the calls to the store so far."""
        return sum(self.store.faults.counts().values())

    def stop(self) -> None:
        """Stop all."""
        for entry in self.entries:
            entry.stop()
        self._agents.stop()
        self._loop.stop()
        self.store.stop()

    def _make_entries(self, count: int) -> Sequence[SpreadEntry]:
        names = ['entry-{0}'.format(one) for one in range(count)]
        return [
            SpreadEntry(
                name,
                [
                    PeerId(one)
                    for one in names[place % DATA_CENTRES :: DATA_CENTRES]
                ],
                _CENTRES[place % DATA_CENTRES],
                loop=self._loop,
                store_url=self.store.url,
                timeouts=self._timeouts,
            )
            for place, name in enumerate(names)
        ]

    def _is_connected(self) -> bool:
        agents = self.processes - len(self.entries)
        return all(one.count_open() == agents for one in self.entries)


def _make_fleet(agents: Sequence[str]) -> Fleet:
    region = RegionId('mu')
    return Fleet(
        data_centres={one: DataCentre(one, region) for one in _CENTRES},
        pools={_POOL: Pool(_POOL, (ModelName('m'),))},
        engines={
            UpstreamId('engine-{0}'.format(place)): EngineRecord(
                UpstreamId('engine-{0}'.format(place)),
                _POOL,
                _CENTRES[place % DATA_CENTRES],
                address,
                'http://127.0.0.1:1',
                1000,
                1e6,
            )
            for place, address in enumerate(agents)
        },
    )


def _measure(
    run: Run, case: str, faults: ObjectFaults, notes: int
) -> list[object]:
    run.store.faults.faults = faults
    quiet = run.count_calls()
    threading.Event().wait(QUIET_S)
    quiet = run.count_calls() - quiet
    before = run.count_calls()
    started = time.monotonic()
    lasted: list[float] = []
    for _ in range(notes):
        applied_at = time.monotonic()
        number = run.apply()
        wait_until(partial(run.is_in_force, number), LOOK_LIMIT_S)
        latest = max(
            one.times.get(number, applied_at + LOOK_LIMIT_S) for one in run.all
        )
        lasted.append(latest - applied_at)
    took_s = time.monotonic() - started
    calls = run.count_calls() - before - quiet / QUIET_S * took_s
    return [
        run.processes,
        len(run.entries),
        sum(one.is_watcher for one in run.entries),
        case,
        notes,
        '{0:.3f}'.format(sorted(lasted)[len(lasted) // 2]),
        '{0:.3f}'.format(max(lasted)),
        sum(1 for one in lasted if one > TARGET_S),
        sum(one.has_gone_back for one in run.all),
        '{0:.1f}'.format(calls / notes),
        '{0:.1f}'.format(quiet / QUIET_S),
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
        run = Run(
            size,
            Timeouts(
                heartbeat_s=heartbeat_s,
                silence_s=heartbeat_s * SILENT_HEARTBEATS,
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
