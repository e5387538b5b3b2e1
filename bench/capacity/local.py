"""Measures costs in one process: codec, routing, admission, configuration."""

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
from bench.capacity.slopes import REPEATS, CostSeries, measure_cpu_us
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
MANY_CALLS = 2000
FEW_CALLS = 5
CHUNK_BYTES = (100, 1000, 4000)
BODY_BYTES = (1000, 16_000, 64_000)
ENGINE_COUNTS = (550, 1100, 2200)
WORKSPACE_COUNTS = (135, 270, 540)
CANDIDATE_COUNTS = (7, 14, 28, 65)


def measure_local() -> Iterator[CostSeries]:
    """Measure each cost at three or more sizes."""
    yield _measure_series(
        'codec, a chunk, both ends', 'us', CHUNK_BYTES, _measure_chunk_us, 200
    )
    yield _measure_series(
        'codec, a Submit, both ends', 'us', BODY_BYTES, _measure_submit_us, 28e3
    )
    yield _measure_series(
        'TokenWork.rank, by candidates',
        'us',
        CANDIDATE_COUNTS,
        _measure_rank_us,
        13,
    )
    yield _measure_series(
        'list_candidates, by engines',
        'us',
        ENGINE_COUNTS,
        _measure_list_candidates_us,
        ENGINES,
    )
    yield _measure_series(
        'find_workspace, by workspaces',
        'us',
        WORKSPACE_COUNTS,
        _measure_find_workspace_us,
        WORKSPACES,
    )
    yield _measure_series(
        'admit and give back, by workspaces',
        'us',
        WORKSPACE_COUNTS,
        _measure_admit_us,
        WORKSPACES,
    )
    yield _measure_series(
        'configuration, size by engines',
        'B',
        ENGINE_COUNTS,
        lambda size: len(dump_fleet(make_fleet(size))),
        ENGINES,
    )
    yield _measure_series(
        'configuration, dump', 'us', ENGINE_COUNTS, _measure_dump_us, ENGINES
    )
    yield _measure_series(
        'configuration, load', 'us', ENGINE_COUNTS, _measure_load_us, ENGINES
    )
    yield _measure_series(
        'configuration, adopt', 'us', ENGINE_COUNTS, _measure_apply_us, ENGINES
    )


def _measure_series(
    name: str,
    unit: str,
    sizes: Sequence[int],
    measure: Callable[[int], float],
    target: float,
) -> CostSeries:
    return CostSeries(
        name, unit, sizes, [measure(size) for size in sizes], target
    )


def _measure_codec_us(message: Message) -> float:
    return measure_cpu_us(lambda: decode(encode(message)), times=MANY_CALLS)


def _measure_chunk_us(size: int) -> float:
    return _measure_codec_us(Chunk(AttemptId('a' * 32), 7, b'x' * size, 3))


def _measure_submit_us(size: int) -> float:
    return _measure_codec_us(
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


def _make_profile(prompt_tokens: int = 7000) -> RequestProfile:
    return RequestProfile(
        RequestId('r' * 32),
        WorkspaceId('workspace-1'),
        ModelName('model-0'),
        prompt_tokens,
        280,
        'prefix',
        Fingerprint('f'),
    )


def _measure_rank_us(size: int) -> float:
    rng = random.Random(1)
    candidates = [
        Candidate(
            UpstreamId('vm-{0}'.format(index)),
            DataCentreId('dc-{0}'.format(index % 3)),
            Load(prefill_tokens=rng.randrange(100_000), free_kv_tokens=500_000),
            1_048_576,
        )
        for index in range(size)
    ]
    router = TokenWork(rng)
    profile = _make_profile()
    return measure_cpu_us(
        lambda: router.rank(profile, candidates, home=HOME),
        times=MANY_CALLS // 10,
    )


def _measure_list_candidates_us(size: int) -> float:
    holder = FleetHolder()
    holder.apply_if_newer(dump_fleet(make_fleet(size)))
    clock = MonotonicClock()
    links = Links(LoopThread(), make_link_context(holder), home=HOME)
    directory = Directory(holder, links, clock)
    base_req = make_engine_request()
    req = msgspec.structs.replace(base_req, work=_make_profile())
    return measure_cpu_us(
        lambda: directory.list_candidates(req), times=FEW_CALLS * 10
    )


def _measure_find_workspace_us(size: int) -> float:
    fleet = make_fleet(1, size)
    keys = ApiKeyIndex()
    header = 'Bearer {0}'.format(make_key(size // 2))
    assert keys.find_workspace(fleet, header) is not None
    return measure_cpu_us(
        lambda: keys.find_workspace(fleet, header), times=MANY_CALLS // 10
    )


def _measure_admit_us(size: int) -> float:
    admission = EntryAdmission(MonotonicClock())
    workspaces = make_fleet(1, size).workspaces
    admission.set_workspaces(workspaces)
    admission.update_live_entries(330)
    profiles = [
        msgspec.structs.replace(_make_profile(1), workspace=workspace)
        for workspace in workspaces
    ]

    def admit_all() -> None:
        for profile in profiles:
            admission.admit(profile)
            admission.release(profile)

    return measure_cpu_us(admit_all, times=FEW_CALLS) / size


def _measure_dump_us(size: int) -> float:
    fleet = make_fleet(size)
    return measure_cpu_us(lambda: dump_fleet(fleet), times=FEW_CALLS)


def _measure_load_us(size: int) -> float:
    document = dump_fleet(make_fleet(size))
    return measure_cpu_us(lambda: load_fleet(document), times=FEW_CALLS)


def _measure_apply_us(size: int) -> float:
    """Measure applying a newer configuration, with admission but no links."""
    holder = FleetHolder()
    admission = EntryAdmission(MonotonicClock())
    holder.subscribe(lambda fleet: admission.set_workspaces(fleet.workspaces))
    documents = iter(
        [
            dump_fleet(make_fleet(size, number=number))
            for number in range(1, FEW_CALLS * REPEATS + 1)
        ],
    )
    return measure_cpu_us(
        lambda: holder.apply_if_newer(next(documents)), times=FEW_CALLS
    )
