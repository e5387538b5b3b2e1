"""Commands that query processes: `status`, `explain` and `drain`."""

import sys
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from typing import Final, TypeAlias, TypeVar

import click
from result import Err, Ok, Result

from figspread.cli.output import (
    CommandOutput,
    ExitCode,
    make_table,
    with_json_option,
)
from figspread.cli.pages import AgentStatus, EntryStatus, OperatorPages
from figspread.cli.status import make_agent_tables, make_entry_tables
from figspread.cli.urls import AGENT_OPTION, ENTRY_OPTION, URL
from figspread.http.client import ClientPool
from figspread.telemetry.trail import Hop

_MS_IN_S: Final = 1000
_Answer = TypeVar('_Answer')
_Answers: TypeAlias = list[tuple[str, Result[_Answer, str]]]


@click.command()
@ENTRY_OPTION
@AGENT_OPTION
@with_json_option
def status(
    entries: Sequence[str],
    agents: Sequence[str],
    *,
    as_json: bool,
) -> None:
    """Show the status of each entry and of each agent given.

    Lists the number of the configuration in force there, whether the process
    takes requests or is leaving, its upstreams, and which entries watch the
    store. Exits with 1 if a process does not answer.
    """
    answers = _query_all(entries, OperatorPages.read_status)
    agent_answers = _query_all(agents, OperatorPages.read_agent_status)
    tables = (*make_entry_tables(answers), *make_agent_tables(agent_answers))
    CommandOutput(as_json=as_json).print_result(
        {
            'entries': [_to_document('entry', *answer) for answer in answers],
            'agents': [
                _to_document('agent', *answer) for answer in agent_answers
            ],
        },
        '\n\n'.join(tables),
    )
    if any(isinstance(answer, Err) for _, answer in (*answers, *agent_answers)):
        sys.exit(ExitCode.FAILED)


@click.command()
@click.argument('request_id')
@ENTRY_OPTION
@AGENT_OPTION
@with_json_option
def explain(
    request_id: str,
    entries: Sequence[str],
    agents: Sequence[str],
    *,
    as_json: bool,
) -> None:
    """Show the events of REQUEST_ID in order of time.

    The id is in the header X-Request-Id of each answer. Processes keep only
    their most recent requests. Exits with 1 if none of them has the request.
    """
    output = CommandOutput(as_json=as_json)
    answers = _query_all(
        (*entries, *agents),
        lambda pages: pages.read_hops(request_id),
    )
    hops: list[Hop] = []
    for url, answer in answers:
        match answer:
            case Ok(found):
                hops.extend(found)
            case Err(problem):
                output.print_warning('{0} {1}'.format(url, problem))
    if not hops:
        output.fail(
            ExitCode.FAILED,
            'no process that answered has events of request {0}'.format(
                request_id
            ),
        )
    hops.sort(key=lambda hop: hop.at_ms)
    output.print_result(
        {'request': request_id, 'hops': hops}, _make_hop_table(hops)
    )


@click.command()
@click.argument('url', type=URL)
@with_json_option
def drain(url: str, *, as_json: bool) -> None:
    """Tell the entry at URL to drain and exit.

    It takes no new requests from then on and exits once its running requests
    have finished, at the latest after the drain limit of its settings.
    """
    output = CommandOutput(as_json=as_json)
    match OperatorPages(url, ClientPool()).drain():
        case Ok(answer):
            output.print_result(
                {'entry': url, 'answer': answer},
                '{0} takes no new requests'.format(url),
            )
        case Err(problem):
            output.fail(ExitCode.FAILED, '{0} {1}'.format(url, problem))


def _query_all(
    urls: Sequence[str],
    read_page: Callable[[OperatorPages], Result[_Answer, str]],
) -> _Answers[_Answer]:
    pool = ClientPool()
    return [(url, read_page(OperatorPages(url, pool))) for url in urls]


def _to_document(
    kind: str,
    url: str,
    answer: Result[EntryStatus, str] | Result[AgentStatus, str],
) -> object:
    match answer:
        case Ok(found):
            return {kind: url, 'status': found}
        case Err(problem):
            return {kind: url, 'error': problem}


def _make_hop_table(hops: Sequence[Hop]) -> str:
    return make_table(
        ['time', 'process', 'event', 'detail'],
        [
            (_format_time(hop.at_ms), hop.process, hop.event, hop.detail)
            for hop in hops
        ],
    )


def _format_time(at_ms: int) -> str:
    try:
        moment = datetime.fromtimestamp(at_ms / _MS_IN_S, UTC)
    except (OverflowError, ValueError, OSError):
        return str(at_ms)
    return moment.isoformat(timespec='milliseconds')
