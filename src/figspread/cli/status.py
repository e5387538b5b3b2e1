"""Tables of the status of entries and agents."""

from collections.abc import Iterator, Sequence
from typing import Final, TypeAlias, TypeVar

from result import Err, Ok, Result

from figspread.cli.output import make_table
from figspread.cli.pages import AgentStatus, EntryStatus, UpstreamRow

_ENTRY_HEADERS: Final = (
    'entry',
    'process',
    'data centre',
    'state',
    'number',
    'watches',
    'callers',
)
_UPSTREAM_HEADERS: Final = (
    'seen by',
    'upstream',
    'state',
    'number',
    'queued',
    'running',
    'tokens to prefill',
)
_AGENT_HEADERS: Final = (
    'agent',
    'upstream',
    'data centre',
    'state',
    'number',
    'entries',
    'attempts',
    'queued',
    'running',
)
_Answer = TypeVar('_Answer')
_Answers: TypeAlias = Sequence[tuple[str, Result[_Answer, str]]]


def make_entry_tables(answers: _Answers[EntryStatus]) -> Iterator[str]:
    """Yield a table of entries and one of the upstreams they report."""
    yield make_table(
        _ENTRY_HEADERS,
        [_make_entry_row(*answer) for answer in answers],
    )
    upstreams = [
        _make_upstream_row(answer.ok_value.process, row)
        for _, answer in answers
        if isinstance(answer, Ok)
        for row in answer.ok_value.upstreams
    ]
    if upstreams:
        yield make_table(_UPSTREAM_HEADERS, upstreams)


def make_agent_tables(answers: _Answers[AgentStatus]) -> Iterator[str]:
    """Yield a table of agents, if there are any."""
    if answers:
        yield make_table(
            _AGENT_HEADERS,
            [_make_agent_row(*answer) for answer in answers],
        )


def _make_entry_row(
    url: str,
    answer: Result[EntryStatus, str],
) -> Sequence[object]:
    match answer:
        case Ok(entry):
            return [
                url,
                entry.process,
                entry.data_centre,
                entry.state,
                entry.config_number,
                'yes' if entry.is_watcher else 'no',
                entry.callers,
            ]
        case Err(problem):
            return [url, '', '', problem]


def _make_upstream_row(process: str, row: UpstreamRow) -> Sequence[object]:
    load = row.load
    counts = (load.queued, load.running, load.prefill_tokens)
    return [process, row.upstream, row.state, row.config_number, *counts]


def _make_agent_row(
    url: str,
    answer: Result[AgentStatus, str],
) -> Sequence[object]:
    match answer:
        case Ok(agent):
            return [
                url,
                agent.upstream,
                agent.data_centre,
                'upstream down' if agent.is_down else agent.state,
                agent.config_number,
                agent.connections,
                agent.attempts,
                agent.load.queued,
                agent.load.running,
            ]
        case Err(problem):
            return [url, '', '', problem]
