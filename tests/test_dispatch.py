"""Dispatch and retries over several upstreams, with scripted outcomes."""

import random
from collections.abc import Sequence

import pytest
from bench.entry_cases import make_engine_request, make_service_request
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import Deadline, ManualClock
from figspread.config.holder import FleetHolder
from figspread.entry.caller_request import (
    CallerRequest,
    ResponsePiece,
    ResponseStarted,
)
from figspread.entry.directory import Directory
from figspread.entry.dispatch import DispatchContext, Dispatcher
from figspread.entry.exchange import AttemptEvent, ConnectionLost, Exchange
from figspread.entry.links import Links
from figspread.entry.pending import AgentQuery, AgentReply
from figspread.ids import AttemptId, DataCentreId, UpstreamId
from figspread.inner.base import Message
from figspread.inner.messages import (
    Accepted,
    Chunk,
    Finished,
    Load,
    Settled,
    Submit,
)
from figspread.outcome import (
    Answered,
    Failed,
    FailedReason,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from figspread.policy.retry import RetryBudget
from figspread.policy.routing import RouterName, make_router
from figspread.policy.suspects import SuspectRegistry
from figspread.policy.types import Candidate
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

HOME = DataCentreId('mu-a')
UPSTREAMS = tuple(UpstreamId('engine-{0}'.format(num)) for num in range(3))
ANSWER_CHUNKS = [b'a', b'b', b'c', b'd']
METRICS = Metrics('entry-a')

SHORT_OVERLOAD = NotRun(NotRunReason.OVERLOAD, 0.01)
LONG_OVERLOAD = NotRun(NotRunReason.OVERLOAD, 5)
LEAVING = NotRun(NotRunReason.LEAVING, 0)
ENGINE_DIED = Failed(FailedReason.UPSTREAM_DIED)
DEADLINE_EXCEEDED = Failed(FailedReason.DEADLINE)
LOST_AFTER_SEND = ConnectionLost(was_sent=True)
LOST_BEFORE_SEND = ConnectionLost(was_sent=False)
AttemptEnding = Outcome | ConnectionLost

ENDINGS = st.sampled_from(
    (
        Answered(),
        SHORT_OVERLOAD,
        LEAVING,
        ENGINE_DIED,
        DEADLINE_EXCEEDED,
        LOST_AFTER_SEND,
        LOST_BEFORE_SEND,
    ),
)


class ScriptedLinks(Links):
    """Links whose attempts end as scripted; later attempts are answered."""

    def __init__(self, script: Sequence[tuple[int, AttemptEnding]]) -> None:
        """Follow `script`: for each attempt, chunks sent and its ending."""
        self._script = list(script)
        self.submits: list[Submit] = []
        self.endings: list[AttemptEnding] = []

    def submit(self, _upstream: UpstreamId, submit: Submit) -> Exchange:
        """Return an exchange that holds the next scripted events."""
        chunks, ending = (
            self._script.pop(0) if self._script else (4, Answered())
        )
        self.submits.append(submit)
        self.endings.append(ending)
        exchange = Exchange(submit.attempt)
        for event in _build_events(submit, chunks, ending):
            exchange.put_event(event)
        return exchange

    def query_agent(
        self,
        _upstream: UpstreamId,
        query: AgentQuery,
        timeout_s: float,
    ) -> AgentReply | None:
        """Reply that the outcome of a lost attempt is unknown."""
        return Settled(
            AttemptId(str(query)),
            Unknown(UnknownReason.CONNECTION_LOST),
        )

    def cancel(self, _upstream: UpstreamId, _attempt: AttemptId) -> None:
        """Ignore the call."""

    def grant_credit(
        self,
        _upstream: UpstreamId,
        _attempt: AttemptId,
        _size: int,
    ) -> None:
        """Ignore the call."""

    def broadcast(self, _message: Message) -> None:
        """Ignore the call."""


def _build_events(
    submit: Submit,
    chunks: int,
    ending: AttemptEnding,
) -> Sequence[AttemptEvent]:
    if isinstance(ending, NotRun):
        return [Finished(submit.attempt, ending)]
    if isinstance(ending, ConnectionLost) and not ending.was_sent:
        return [ending]
    rest = ANSWER_CHUNKS[submit.resume_from :]
    sent = rest if isinstance(ending, Answered) else rest[:chunks]
    events: list[AttemptEvent] = [Accepted(submit.attempt)]
    events += [
        Chunk(submit.attempt, seq, part, tokens=1)
        for seq, part in enumerate(sent)
    ]
    if isinstance(ending, ConnectionLost):
        return [*events, ending]
    return [*events, Finished(submit.attempt, ending, len(sent), len(sent))]


class AllUpstreamsAvailable(Directory):
    """A directory in which every upstream is available and idle."""

    def list_candidates(self, _req: CallerRequest) -> Sequence[Candidate]:
        """Return all upstreams."""
        return [
            Candidate(upstream, HOME, Load(), kv_tokens=1000)
            for upstream in UPSTREAMS
        ]


def run_request(
    req: CallerRequest,
    links: ScriptedLinks,
    budget: RetryBudget | None = None,
    metrics: Metrics = METRICS,
) -> tuple[bytes, Outcome]:
    """Run `req`; return the bytes that the caller gets and the outcome."""
    clock = ManualClock()
    rng = random.Random(1)
    dispatcher = Dispatcher(
        DispatchContext(
            home=HOME,
            clock=clock,
            rng=rng,
            links=links,
            directory=AllUpstreamsAvailable(FleetHolder(), links, clock),
            router=make_router(RouterName.TOKEN_WORK, rng),
            budget=budget or RetryBudget(),
            suspects=SuspectRegistry(clock),
            trail=Trail(),
            metrics=metrics,
            tracer=Tracer('entry-a'),
            pause=clock.advance,
        ),
    )
    deadline = Deadline(clock, req.time_limit_s)

    def is_gone() -> bool:
        clock.advance(0.01)
        return False

    events = list(dispatcher.run(req, deadline, is_gone))
    pieces = b''.join(
        event.data for event in events if isinstance(event, ResponsePiece)
    )
    outcome = events[-1]
    assert not isinstance(outcome, ResponseStarted | ResponsePiece)
    return pieces, outcome


def may_have_run(ending: AttemptEnding) -> bool:
    """Tell whether an attempt with this ending may have run."""
    match ending:
        case NotRun():
            return False
        case ConnectionLost(was_sent=was_sent):
            return was_sent
        case _:
            return True


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    script=st.lists(st.tuples(st.integers(0, 4), ENDINGS), max_size=6),
    kind=st.sampled_from(['engine', 'repeatable', 'once']),
)
def test_guarantees_hold_for_any_attempt_outcomes(
    script: list[tuple[int, AttemptEnding]],
    kind: str,
) -> None:
    """`NotRun` means that no attempt ran, and answers are never damaged.

    Guards against retries that run a non-repeatable request twice, and
    against gaps or repeats in an answer that several attempts make up.
    """
    req = {
        'engine': make_engine_request(),
        'repeatable': make_service_request(is_repeatable=True),
        'once': make_service_request(),
    }[kind]
    links = ScriptedLinks(script)
    pieces, outcome = run_request(req, links)
    ran = [ending for ending in links.endings if may_have_run(ending)]
    if isinstance(outcome, NotRun):
        assert not ran
    if kind == 'once':
        assert len(ran) <= 1
    if isinstance(outcome, Answered):
        assert pieces == b''.join(ANSWER_CHUNKS)
    assert b''.join(ANSWER_CHUNKS).startswith(pieces)
    assert len({submit.attempt for submit in links.submits}) == len(
        links.submits,
    )


def test_interrupted_answer_resumes_after_last_token() -> None:
    """Each retry requests only the tokens that are still missing."""
    links = ScriptedLinks([(2, ENGINE_DIED), (1, LOST_AFTER_SEND)])
    pieces, outcome = run_request(make_engine_request(), links)
    assert (pieces, outcome) == (b''.join(ANSWER_CHUNKS), Answered())
    assert [submit.resume_from for submit in links.submits] == [0, 2, 3]


def test_refusal_by_every_upstream_ends_request() -> None:
    """Every upstream is tried once; the shortest retry delay is reported."""
    links = ScriptedLinks(
        [(0, LONG_OVERLOAD), (0, LONG_OVERLOAD), (0, LONG_OVERLOAD)]
    )
    _, outcome = run_request(make_engine_request(), links)
    assert outcome == LONG_OVERLOAD
    assert len(links.submits) == len(UPSTREAMS)


@pytest.mark.parametrize('is_allowed', [True, False])
def test_only_allowed_retries_are_counted(is_allowed: bool) -> None:
    """A retry that the budget refuses is not sent, and not counted."""
    metrics = Metrics('entry-1')
    budget = RetryBudget()
    req = make_engine_request()
    while not is_allowed and budget.take_retry(req.workspace.workspace):
        """Spend the whole budget."""
    links = ScriptedLinks([(2, ENGINE_DIED)])
    run_request(req, links, budget, metrics)
    text = metrics.render().decode()
    metrics.close()
    assert len(links.submits) == 1 + is_allowed
    assert ('figspread_retries_total' in text) == is_allowed
