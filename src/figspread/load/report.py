"""The JSON report of a load run."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

import msgspec
from result import Err, Ok, Result

FORMAT: Final = 'figspread-load/1'


class LatencySummary(msgspec.Struct, frozen=True):
    """Percentiles of a histogram of durations, in milliseconds."""

    count: int = 0
    p50_ms: float = 0
    p90_ms: float = 0
    p95_ms: float = 0
    p99_ms: float = 0
    max_ms: float = 0


class GroupSummary(msgspec.Struct, frozen=True):
    """Figures of one group of requests.

    `outcomes` adds up to `requests`. `reasons` counts requests that were not
    answered, by `outcome/reason`.
    """

    requests: int
    outcomes: Mapping[str, int]
    reasons: Mapping[str, int]
    prompt_tokens: int
    answered_prompt_tokens: int
    first_token: LatencySummary
    between_tokens: LatencySummary
    whole: LatencySummary


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a load run; `is_partial` if it was interrupted.

    `planned` counts the arrivals up to the end or interruption of the run.
    `total` covers the same requests, including those that an interruption left
    unsent or unfinished. `came_back` counts requests that were refused and
    retried after the stated delay, `let_in_after` those of them whose final
    outcome is not `not_run`. `late` is how much later than planned requests
    were first sent; unsent and unfinished requests count in it as 0.
    """

    total: GroupSummary
    classes: Mapping[str, GroupSummary]
    workspaces: Mapping[str, GroupSummary]
    services: Mapping[str, GroupSummary]
    late: LatencySummary
    planned: int
    came_back: int
    let_in_after: int
    answered_per_s: float
    elapsed_s: float
    seed: int
    is_partial: bool
    plan: Mapping[str, object]
    version: str
    format: str = FORMAT


def write_report(report: Report, path: Path) -> Result[None, str]:
    """Write `report` to `path` as indented JSON."""
    document = msgspec.json.format(msgspec.json.encode(report), indent=2)
    try:
        path.write_bytes(document)
    except OSError as exc:
        return Err(str(exc))
    return Ok(None)


def read_report(path: Path) -> Result[Report, str]:
    """Return the report in the file at `path`, or an error message."""
    try:
        report = msgspec.json.decode(path.read_bytes(), type=Report)
    except OSError as exc:
        return Err(str(exc))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err('{0}: not a report: {1}'.format(path, exc))
    if report.format != FORMAT:
        return Err('{0}: not of format {1}'.format(path, FORMAT))
    return Ok(report)
