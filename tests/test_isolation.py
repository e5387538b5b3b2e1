"""Suspects over entries and agents, in any order of news."""

from collections import defaultdict

from bench.agent_fakes import make_submit
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figspread.agent.isolation import SuspectIsolation
from figspread.clock import ManualClock
from figspread.ids import AttemptId, CrashId, Fingerprint
from figspread.inner.messages import Submit, SuspectRow
from figspread.outcome import NotRunReason
from figspread.policy.suspects import Suspects

ENTRIES = ('entry-0', 'entry-1')
AGENTS = ('agent-0', 'agent-1', 'agent-2')
CULPRITS = ('culprit-0', 'culprit-1')
REQUESTS = (*CULPRITS, 'innocent-0', 'innocent-1', 'innocent-2')


class Fleet(RuleBasedStateMachine):
    """Tables that pass news on over ordered connections.

    A request runs once at a time. Its next attempt is sent when its entry
    has heard of the crash that ended the last one, which comes before the
    end of the attempt on the same connection; a resend by another entry
    when that has heard what was under way to it.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        super().__init__()
        clock = ManualClock()
        self.tables = {name: Suspects(clock) for name in (*ENTRIES, *AGENTS)}
        self.isolations = {
            name: SuspectIsolation(self.tables[name]) for name in AGENTS
        }
        self.under_way: dict[tuple[str, str], list[SuspectRow]] = defaultdict(
            list,
        )
        self.entry_of = dict.fromkeys(REQUESTS, ENTRIES[0])
        self.running: dict[str, tuple[str, Submit]] = {}
        self.lost = dict.fromkeys(CULPRITS, 0)
        self.answered: set[str] = set()
        self.count = 0

    @rule(
        request=st.sampled_from((*CULPRITS, *CULPRITS, *REQUESTS)),
        agent=st.sampled_from(AGENTS),
    )
    def send(self, request: str, agent: str) -> None:
        """Send a request that is not running."""
        entry = self.entry_of[request]
        crashes = self.tables[entry].crashes(Fingerprint(request))
        if request in self.running:
            return
        if crashes >= 2:
            assert request not in self.answered
            return
        self.count += 1
        submit = make_submit(
            'attempt-{0}'.format(self.count),
            fingerprint=Fingerprint(request),
            crashes=crashes,
        )
        self.deliver(entry, agent)
        refusal = self.isolations[agent].check(submit)
        if refusal is None:
            self.isolations[agent].record_start(submit)
            self.running[request] = (agent, submit)
            return
        assert request not in self.answered
        assert refusal.retry_after_s > 0
        assert refusal.reason in {NotRunReason.SUSPECT, NotRunReason.OVERLOAD}

    @rule()
    def crash(self) -> None:
        """Let a culprit bring its engine down, with all that run there."""
        request = next((one for one in CULPRITS if one in self.running), None)
        if request is None:
            return
        agent, _ = self.running[request]
        self.lost[request] += 1
        ended = [one for one in REQUESTS if self._is_on(one, agent)]
        for one in ended:
            self.answered.discard(one)
            _, submit = self.running.pop(one)
            rows = self.tables[agent].note_crash(
                submit.fingerprint,
                CrashId(submit.attempt),
            )
            self._tell(agent, rows, ())
            self.isolations[agent].record_end(submit.attempt)
        for one in ended:
            self.deliver(agent, self.entry_of[one])

    @rule(request=st.sampled_from(REQUESTS[len(CULPRITS) :]))
    def answer(self, request: str) -> None:
        """Let an innocent get its answer."""
        if request not in self.running:
            return
        agent, submit = self.running.pop(request)
        entry = self.entry_of[request]
        self.answered.add(request)
        self.isolations[agent].record_end(submit.attempt)
        rows = self.tables[entry].clear(submit.fingerprint)
        self._tell(entry, rows, ())

    @rule(
        source=st.sampled_from((*ENTRIES, *AGENTS)),
        to=st.sampled_from((*ENTRIES, *AGENTS)),
    )
    def deliver(self, source: str, to: str) -> None:
        """Let what one has sent to another arrive."""
        rows = self.under_way.pop((source, to), [])
        self._tell(to, self.tables[to].merge(rows), (source,))

    @rule(request=st.sampled_from(REQUESTS))
    def resend(self, request: str) -> None:
        """Let the caller turn to another entry."""
        if request in self.running:
            return
        entry = next(one for one in ENTRIES if one != self.entry_of[request])
        while any(self.under_way.values()):
            for source, to in tuple(self.under_way):
                self.deliver(source, to)
        self.entry_of[request] = entry

    @invariant()
    def loses_two_at_most(self) -> None:
        """No request brings a third engine down."""
        assert max(self.lost.values()) <= 2

    @invariant()
    def runs_suspects_one_at_a_time(self) -> None:
        """Of those that an agent took on as suspects one runs."""
        for agent in AGENTS:
            suspects = [
                submit
                for place, submit in self.running.values()
                if place == agent and submit.crashes
            ]
            assert len(suspects) <= 1

    def _is_on(self, request: str, agent: str) -> bool:
        return request in self.running and self.running[request][0] == agent

    def _tell(
        self,
        source: str,
        rows: object,
        but: tuple[str, ...],
    ) -> None:
        peers = AGENTS if source in ENTRIES else ENTRIES
        for peer in peers:
            if peer not in but and rows:
                assert isinstance(rows, tuple)
                self.under_way[source, peer].extend(rows)


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)


def test_a_suspect_waits_for_another_and_not_for_the_others() -> None:
    """Two suspects run one after the other; what is no suspect runs."""
    table = Suspects(ManualClock())
    isolation = SuspectIsolation(table)
    for fingerprint in ('print-a', 'print-b'):
        table.note_crash(
            Fingerprint(fingerprint),
            CrashId('earlier'),
        )
    first, second, plain = (make_submit(name) for name in 'abc')
    assert isolation.check(first) is None
    isolation.record_start(first)
    refusal = isolation.check(second)
    assert refusal is not None
    assert refusal.reason is NotRunReason.OVERLOAD
    assert isolation.check(plain) is None
    isolation.record_end(AttemptId('c'))
    assert isolation.check(second) == refusal
    isolation.record_end(AttemptId('a'))
    assert isolation.check(second) is None


def test_the_sender_is_believed_only_about_the_unknown() -> None:
    """A count that was sent before the forgiveness came refuses nothing."""
    table = Suspects(ManualClock())
    isolation = SuspectIsolation(table)
    submit = make_submit('a', crashes=2)
    refusal = isolation.check(submit)
    assert refusal is not None
    assert refusal.reason is NotRunReason.SUSPECT
    assert refusal.retry_after_s > 0
    table.clear(submit.fingerprint, [CrashId('x'), CrashId('y')])
    table.note_crash(submit.fingerprint, CrashId('x'))
    assert isolation.check(submit) is None
