"""Collects the log lines of each request and names why it was lost or late."""

import json
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum
from typing import Any, Final

import msgspec

# A wait in the queue, or a first event after the estimate, is named as the cause
# of a late answer from this length on.
NOTABLE_WAIT_S: Final = 0.1


class Cause(Enum):
    """Why a request was not answered on time, or that it was."""

    ON_TIME = 'on time'
    RETRIED = 'late: sent again'
    QUEUED = 'late: waited for an engine'
    SLOWER = 'late: engine slower than estimated'
    SLOW = 'late: as estimated'
    GAP = 'late: pause between events'
    REFUSED = 'refused'
    FAILED = 'failed'
    LEFT = 'caller left'
    CUT = 'cut by the entry'


class Trail(msgspec.Struct):
    """The log lines of one request; `placed` has one for each placement."""

    placed: list[Mapping[str, Any]] = msgspec.field(default_factory=list)
    ended: Mapping[str, Any] | None = None


class Loss(msgspec.Struct, frozen=True):
    """How a request ended; `arrived_s` is the time of the play."""

    request: str
    arrived_s: float
    prompt_tokens: int
    cause: Cause
    detail: str = ''


def read_rows(lines: Iterable[str]) -> Iterator[tuple[float, dict[str, Any]]]:
    """Yield time and fields of each log line `TIME VM {...}`.

    Other lines are skipped. The time is that of the play, in seconds; lines are
    written in batches, so it is corrected by the line's own timestamp.
    """
    rows: list[tuple[float, str, dict[str, Any]]] = []
    offsets: dict[str, float] = {}
    for line in lines:
        time_s, _, rest = line.strip().partition(' ')
        vm, _, text = rest.partition(' ')
        if not text.startswith('{'):
            continue
        try:
            row = json.loads(text)
            written_s = float(time_s)
        except ValueError:
            continue
        offset = written_s - row['timestamp']
        offsets[vm] = min(offset, offsets.get(vm, offset))
        rows.append((row['timestamp'], vm, row))
    for timestamp, vm, row in rows:
        yield timestamp + offsets[vm], row


def collect_losses(
    rows: Iterable[tuple[float, Mapping[str, Any]]],
) -> list[Loss]:
    """Return how each request ended, in the order of the ends."""
    trails: dict[str, Trail] = {}
    losses = []
    for time_s, row in rows:
        request = row.get('request')
        if request is None:
            continue
        match row['message_type']:
            case 'request placed':
                trails.setdefault(request, Trail()).placed.append(row)
            case 'request finished' | 'request refused':
                trail = trails.pop(request, Trail())
                trail.ended = row
                losses.append(_make_loss(request, time_s, trail))
    return losses


def _make_loss(request: str, ended_s: float, trail: Trail) -> Loss:
    assert trail.ended is not None
    tokens = trail.placed[0]['tokens'][0] if trail.placed else 0
    return Loss(
        request,
        ended_s - trail.ended.get('total_s', 0),
        tokens,
        _name_cause(trail.ended, trail),
        trail.ended.get('detail', ''),
    )


def _name_cause(ended: Mapping[str, Any], trail: Trail) -> Cause:
    if ended['message_type'] == 'request refused':
        is_not_run = ended['status'] == 503 or ended['status'] < 500
        return Cause.REFUSED if is_not_run else Cause.FAILED
    if ended['outcome'] != 'answered':
        return Cause.CUT if ended['outcome'] == 'cut_by_entry' else Cause.LEFT
    if int(ended['status']) >= 500:
        return Cause.FAILED
    match ended['late']:
        case 'first':
            return _name_late_start(ended, trail)
        case 'gap':
            return Cause.GAP
        case _:
            return Cause.ON_TIME


def _name_late_start(ended: Mapping[str, Any], trail: Trail) -> Cause:
    if len(trail.placed) > 1:
        return Cause.RETRIED
    first = trail.placed[0]
    if first['waited_s'] >= NOTABLE_WAIT_S:
        return Cause.QUEUED
    excess_s = ended['first_s'] - first['waited_s'] - first['expected_s']
    return Cause.SLOWER if excess_s >= NOTABLE_WAIT_S else Cause.SLOW
