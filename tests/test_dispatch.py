"""A request's way over several upstreams, whatever its attempts come to."""

import random
from collections.abc import Sequence

from bench.entry_cases import make_engine_request, make_service_request
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.clock import Deadline, ManualClock
from figspread.config.holder import FleetHolder
from figspread.entry.call import CallerRequest, Piece, Started
from figspread.entry.directory import Directory
from figspread.entry.dispatch import Dispatcher, DispatchNeeds
from figspread.entry.exchange import Event, Exchange, Lost
from figspread.entry.links import Links
from figspread.entry.pending import Question, Reply
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
from figspread.policy.suspects import Suspects
from figspread.policy.types import Candidate
from figspread.telemetry.metrics import Metrics
from figspread.telemetry.traces import Tracer
from figspread.telemetry.trail import Trail

HOME = DataCentreId('mu-a')
UPSTREAMS = tuple(UpstreamId('engine-{0}'.format(one)) for one in range(3))
WHOLE = [b'a', b'b', b'c', b'd']
METRICS = Metrics('entry-a')

REFUSED = NotRun(NotRunReason.OVERLOAD, 0.01)
FULL = NotRun(NotRunReason.OVERLOAD, 5)
LEAVING = NotRun(NotRunReason.LEAVING, 0)
DIED = Failed(FailedReason.UPSTREAM_DIED)
LATE = Failed(FailedReason.DEADLINE)
GONE = Lost(was_sent=True)
NEVER_SENT = Lost(was_sent=False)
Ending = Outcome | Lost

ENDINGS = st.sampled_from(
    (Answered(), REFUSED, LEAVING, DIED, LATE, GONE, NEVER_SENT),
)


class ScriptedLinks(Links):
    """Agents that end each attempt as the script says, then answer."""

    def __init__(self, script: Sequence[tuple[int, Ending]]) -> None:
        """Play `script`: chunks sent before the end, and the end."""
        self._script = list(script)
        self.submits: list[Submit] = []
        self.endings: list[Ending] = []

    def submit(self, _upstream: UpstreamId, submit: Submit) -> Exchange:
        """Play the next line of the script."""
        chunks, ending = (
            self._script.pop(0) if self._script else (4, Answered())
        )
        self.submits.append(submit)
        self.endings.append(ending)
        exchange = Exchange(submit.attempt)
        for event in _list_events(submit, chunks, ending):
            exchange.put(event)
        return exchange

    def ask(
        self,
        _upstream: UpstreamId,
        question: Question,
        timeout_s: float,
    ) -> Reply | None:
        """Say that a lost attempt cannot be known."""
        return Settled(
            AttemptId(str(question)),
            Unknown(UnknownReason.CONNECTION_LOST),
        )

    def cancel(self, _upstream: UpstreamId, _attempt: AttemptId) -> None:
        """Take no notice."""

    def give_credit(
        self,
        _upstream: UpstreamId,
        _attempt: AttemptId,
        _size: int,
    ) -> None:
        """Take no notice."""

    def tell_all(self, _message: Message) -> None:
        """Take no notice."""


def _list_events(
    submit: Submit,
    chunks: int,
    ending: Ending,
) -> Sequence[Event]:
    if isinstance(ending, NotRun):
        return [Finished(submit.attempt, ending)]
    if isinstance(ending, Lost) and not ending.was_sent:
        return [ending]
    rest = WHOLE[submit.resume_from :]
    sent = rest if isinstance(ending, Answered) else rest[:chunks]
    events: list[Event] = [Accepted(submit.attempt)]
    events += [
        Chunk(submit.attempt, seq, part, tokens=1)
        for seq, part in enumerate(sent)
    ]
    if isinstance(ending, Lost):
        return [*events, ending]
    return [*events, Finished(submit.attempt, ending, len(sent), len(sent))]


class AllUp(Directory):
    """Has every upstream, idle."""

    def list_candidates(self, _req: CallerRequest) -> Sequence[Candidate]:
        """Return all upstreams."""
        return [
            Candidate(upstream, HOME, Load(), kv_tokens=1000)
            for upstream in UPSTREAMS
        ]


def run_request(
    req: CallerRequest,
    links: ScriptedLinks,
) -> tuple[bytes, Outcome]:
    """Return the bytes that the caller gets and the outcome."""
    clock = ManualClock()
    rng = random.Random(1)
    dispatcher = Dispatcher(
        DispatchNeeds(
            home=HOME,
            clock=clock,
            rng=rng,
            links=links,
            directory=AllUp(FleetHolder(), links, clock),
            router=make_router(RouterName.TOKEN_WORK, rng),
            budget=RetryBudget(),
            suspects=Suspects(clock),
            trail=Trail(),
            metrics=METRICS,
            tracer=Tracer('entry-a'),
            pause=clock.advance,
        ),
    )
    deadline = Deadline(clock, req.time_limit_s)

    def is_gone() -> bool:
        clock.advance(0.01)
        return False

    events = list(dispatcher.run(req, deadline, is_gone))
    pieces = b''.join(one.data for one in events if isinstance(one, Piece))
    outcome = events[-1]
    assert not isinstance(outcome, Started | Piece)
    return pieces, outcome


def may_have_run(ending: Ending) -> bool:
    """Tell whether the upstream may have run an attempt that ended so."""
    match ending:
        case NotRun():
            return False
        case Lost(was_sent=was_sent):
            return was_sent
        case _:
            return True


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    script=st.lists(st.tuples(st.integers(0, 4), ENDINGS), max_size=6),
    kind=st.sampled_from(['engine', 'repeatable', 'once']),
)
def test_the_promises_hold_over_any_attempts(
    script: list[tuple[int, Ending]],
    kind: str,
) -> None:
    """Not run means it; at most once is; a whole answer is whole."""
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
        assert pieces == b''.join(WHOLE)
    assert b''.join(WHOLE).startswith(pieces)
    assert len({submit.attempt for submit in links.submits}) == len(
        links.submits,
    )


def test_a_cut_answer_goes_on_where_it_stopped() -> None:
    """The next engine is asked for the tokens that are missing."""
    links = ScriptedLinks([(2, DIED), (1, GONE)])
    pieces, outcome = run_request(make_engine_request(), links)
    assert (pieces, outcome) == (b''.join(WHOLE), Answered())
    assert [submit.resume_from for submit in links.submits] == [0, 2, 3]


def test_all_refusals_are_one_refusal_at_once() -> None:
    """Every upstream is asked once, and the soonest return is told."""
    links = ScriptedLinks([(0, FULL), (0, FULL), (0, FULL)])
    _, outcome = run_request(make_engine_request(), links)
    assert outcome == FULL
    assert len(links.submits) == len(UPSTREAMS)
