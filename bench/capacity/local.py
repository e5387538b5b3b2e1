"""Costs within one process: codec, routing, checks, configurations."""

import random
from collections.abc import Callable, Iterator, Sequence

import msgspec

from bench.capacity.fleets import (
    ENGINES,
    WORKSPACES,
    make_fleet,
    make_key,
)
from bench.capacity.links import make_link_context
from bench.capacity.slopes import REPEATS, Row, time_us
from bench.entry_cases import make_engine_request
from figspread.clock import MonotonicClock
from figspread.config.document import dump_fleet, load_fleet
from figspread.config.holder import FleetHolder
from figspread.entry.auth import ApiKeyIndex
from figspread.entry.directory import Directory
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.ids import (
    AttemptId,
    DataCentreId,
    Fingerprint,
    ModelName,
    RequestId,
    UpstreamId,
    WorkspaceId,
)
from figspread.inner.base import Message
from figspread.inner.codec import decode, encode
from figspread.inner.messages import Chunk, Load, Submit, UpstreamKind
from figspread.policy.limits import EntryAdmission
from figspread.policy.routing import TokenWork
from figspread.policy.types import Candidate, RequestProfile

HOME = DataCentreId('dc-0')
MANY = 2000
FEW = 5
CHUNK_BYTES = (100, 1000, 4000)
BODY_BYTES = (1000, 16_000, 64_000)
ENGINE_SIZES = (550, 1100, 2200)
WORKSPACE_SIZES = (135, 270, 540)
CANDIDATE_SIZES = (7, 14, 28, 65)


def measure_local() -> Iterator[Row]:
    """Measure all of them, each at three sizes or more."""
    yield _row('codec, a chunk, both ends', 'us', CHUNK_BYTES, _chunk_us, 200)
    yield _row('codec, a Submit, both ends', 'us', BODY_BYTES, _submit_us, 28e3)
    yield _row(
        'TokenWork.rank, by candidates', 'us', CANDIDATE_SIZES, _rank, 13
    )
    yield _row(
        'list_candidates, by engines',
        'us',
        ENGINE_SIZES,
        _list_us,
        ENGINES,
    )
    yield _row(
        'find_workspace, by workspaces',
        'us',
        WORKSPACE_SIZES,
        _auth_us,
        WORKSPACES,
    )
    yield _row(
        'admit and give back, by workspaces',
        'us',
        WORKSPACE_SIZES,
        _admit_us,
        WORKSPACES,
    )
    yield _row(
        'configuration, size by engines',
        'B',
        ENGINE_SIZES,
        lambda size: len(dump_fleet(make_fleet(size))),
        ENGINES,
    )
    yield _row('configuration, dump', 'us', ENGINE_SIZES, _dump_us, ENGINES)
    yield _row('configuration, load', 'us', ENGINE_SIZES, _load_us, ENGINES)
    yield _row('configuration, adopt', 'us', ENGINE_SIZES, _adopt_us, ENGINES)


def _row(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    target: float,
) -> Row:
    return Row(name, unit, sizes, [measure(size) for size in sizes], target)


def _both_ends_us(message: Message) -> float:
    return time_us(lambda: decode(encode(message)), times=MANY)


def _chunk_us(size: int) -> float:
    return _both_ends_us(Chunk(AttemptId('a' * 32), 7, b'x' * size, 3))


def _submit_us(size: int) -> float:
    return _both_ends_us(
        Submit(
            AttemptId('a' * 32),
            RequestId('r' * 32),
            WorkspaceId('workspace-1'),
            UpstreamKind.ENGINE,
            '/v1/completions',
            30_000,
            headers={'Content-Type': 'application/json'},
            body=b'x' * size,
            body_size=size,
        ),
    )


def _make_work(prompt_tokens: int = 7000) -> RequestProfile:
    return RequestProfile(
        RequestId('r' * 32),
        WorkspaceId('workspace-1'),
        ModelName('model-0'),
        prompt_tokens,
        280,
        'prefix',
        Fingerprint('f'),
    )


def _rank(size: int) -> float:
    rng = random.Random(1)
    candidates = [
        Candidate(
            UpstreamId('vm-{0}'.format(one)),
            DataCentreId('dc-{0}'.format(one % 3)),
            Load(prefill_tokens=rng.randrange(100_000), free_kv_tokens=500_000),
            1_048_576,
        )
        for one in range(size)
    ]
    router = TokenWork(rng)
    work = _make_work()
    return time_us(
        lambda: router.rank(work, candidates, home=HOME),
        times=MANY // 10,
    )


def _list_us(size: int) -> float:
    holder = FleetHolder()
    holder.apply_if_newer(dump_fleet(make_fleet(size)))
    clock = MonotonicClock()
    links = Links(LoopThread(), make_link_context(holder), home=HOME)
    directory = Directory(holder, links, clock)
    plain = make_engine_request()
    req = msgspec.structs.replace(plain, work=_make_work())
    return time_us(lambda: directory.list_candidates(req), times=FEW * 10)


def _auth_us(size: int) -> float:
    fleet = make_fleet(1, size)
    keys = ApiKeyIndex()
    header = 'Bearer {0}'.format(make_key(size // 2))
    assert keys.find_workspace(fleet, header) is not None
    return time_us(lambda: keys.find_workspace(fleet, header), times=MANY // 10)


def _admit_us(size: int) -> float:
    admission = EntryAdmission(MonotonicClock())
    workspaces = make_fleet(1, size).workspaces
    admission.set_workspaces(workspaces)
    admission.update_live_entries(330)
    works = [
        msgspec.structs.replace(_make_work(1), workspace=workspace)
        for workspace in workspaces
    ]

    def take_all() -> None:
        for work in works:
            admission.admit(work)
            admission.release(work)

    return time_us(take_all, times=FEW) / size


def _dump_us(size: int) -> float:
    fleet = make_fleet(size)
    return time_us(lambda: dump_fleet(fleet), times=FEW)


def _load_us(size: int) -> float:
    document = dump_fleet(make_fleet(size))
    return time_us(lambda: load_fleet(document), times=FEW)


def _adopt_us(size: int) -> float:
    """Load a newer one and hand it to admission, links left out."""
    holder = FleetHolder()
    admission = EntryAdmission(MonotonicClock())
    holder.subscribe(lambda fleet: admission.set_workspaces(fleet.workspaces))
    documents = iter(
        [
            dump_fleet(make_fleet(size, number=number))
            for number in range(1, FEW * REPEATS + 1)
        ],
    )
    return time_us(lambda: holder.apply_if_newer(next(documents)), times=FEW)
