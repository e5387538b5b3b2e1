"""Tests of suspect isolation, with updates delivered in any order."""

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
from figspread.policy.suspects import SuspectRegistry

ENTRIES = ('entry-0', 'entry-1')
AGENTS = ('agent-0', 'agent-1', 'agent-2')
CULPRITS = ('culprit-0', 'culprit-1')
REQUESTS = (*CULPRITS, 'innocent-0', 'innocent-1', 'innocent-2')


class Fleet(RuleBasedStateMachine):
    """Entries and agents that exchange suspect rows over ordered connections.

    A request has one attempt at a time. Its entry sends the next one after it
    has received the rows of the crash that ended the last, which precede the
    attempt's outcome on the same connection. Another entry resends a request
    only after it has received all rows that were in transit to it.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        super().__init__()
        clock = ManualClock()
        self.tables = {
            name: SuspectRegistry(clock) for name in (*ENTRIES, *AGENTS)
        }
        self.isolations = {
            name: SuspectIsolation(self.tables[name]) for name in AGENTS
        }
        self.in_transit: dict[tuple[str, str], list[SuspectRow]] = defaultdict(
            list,
        )
        self.entry_of = dict.fromkeys(REQUESTS, ENTRIES[0])
        self.running: dict[str, tuple[str, Submit]] = {}
        self.crashes_by_culprit = dict.fromkeys(CULPRITS, 0)
        self.answered: set[str] = set()
        self.attempt_count = 0

    @rule(
        request=st.sampled_from((*CULPRITS, *CULPRITS, *REQUESTS)),
        agent=st.sampled_from(AGENTS),
    )
    def send(self, request: str, agent: str) -> None:
        """Send a request that isn't running."""
        entry = self.entry_of[request]
        crashes = self.tables[entry].crashes(Fingerprint(request))
        if request in self.running:
            return
        if crashes >= 2:
            assert request not in self.answered
            return
        self.attempt_count += 1
        submit = make_submit(
            'attempt-{0}'.format(self.attempt_count),
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
        """Crash the engine of a running culprit, with all its attempts."""
        request = next(
            (name for name in CULPRITS if name in self.running), None
        )
        if request is None:
            return
        agent, _ = self.running[request]
        self.crashes_by_culprit[request] += 1
        crashed = [name for name in REQUESTS if self._is_on(name, agent)]
        for name in crashed:
            self.answered.discard(name)
            _, submit = self.running.pop(name)
            rows = self.tables[agent].record_crash(
                submit.fingerprint,
                CrashId(submit.attempt),
            )
            self._send_rows(agent, rows, ())
            self.isolations[agent].record_end(submit.attempt)
        for name in crashed:
            self.deliver(agent, self.entry_of[name])

    @rule(request=st.sampled_from(REQUESTS[len(CULPRITS) :]))
    def answer(self, request: str) -> None:
        """Answer an innocent request."""
        if request not in self.running:
            return
        agent, submit = self.running.pop(request)
        entry = self.entry_of[request]
        self.answered.add(request)
        self.isolations[agent].record_end(submit.attempt)
        rows = self.tables[entry].forgive(submit.fingerprint)
        self._send_rows(entry, rows, ())

    @rule(
        source=st.sampled_from((*ENTRIES, *AGENTS)),
        to=st.sampled_from((*ENTRIES, *AGENTS)),
    )
    def deliver(self, source: str, to: str) -> None:
        """Deliver the rows in transit from `source` to `to`."""
        rows = self.in_transit.pop((source, to), [])
        self._send_rows(to, self.tables[to].merge(rows), (source,))

    @rule(request=st.sampled_from(REQUESTS))
    def resend(self, request: str) -> None:
        """Move a request to the other entry, as its caller does."""
        if request in self.running:
            return
        entry = next(name for name in ENTRIES if name != self.entry_of[request])
        while any(self.in_transit.values()):
            for source, to in tuple(self.in_transit):
                self.deliver(source, to)
        self.entry_of[request] = entry

    @invariant()
    def crashes_two_engines_at_most(self) -> None:
        """No request crashes a third engine."""
        assert max(self.crashes_by_culprit.values()) <= 2

    @invariant()
    def runs_suspects_one_at_a_time(self) -> None:
        """Each agent runs at most one attempt that it admitted as a suspect."""
        for agent in AGENTS:
            suspects = [
                submit
                for running_on, submit in self.running.values()
                if running_on == agent and submit.crashes
            ]
            assert len(suspects) <= 1

    def _is_on(self, request: str, agent: str) -> bool:
        return request in self.running and self.running[request][0] == agent

    def _send_rows(
        self,
        source: str,
        rows: object,
        excluded: tuple[str, ...],
    ) -> None:
        peers = AGENTS if source in ENTRIES else ENTRIES
        for peer in peers:
            if peer not in excluded and rows:
                assert isinstance(rows, tuple)
                self.in_transit[source, peer].extend(rows)


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
)


def test_suspect_waits_only_for_another_suspect() -> None:
    """A second suspect is refused while one runs; others are not."""
    table = SuspectRegistry(ManualClock())
    isolation = SuspectIsolation(table)
    for fingerprint in ('print-a', 'print-b'):
        table.record_crash(
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


def test_sender_crash_count_is_used_only_without_record() -> None:
    """The sender's crash count is used only without an own record.

    A count that was sent before the request was cleared must not refuse it.
    """
    table = SuspectRegistry(ManualClock())
    isolation = SuspectIsolation(table)
    submit = make_submit('a', crashes=2)
    refusal = isolation.check(submit)
    assert refusal is not None
    assert refusal.reason is NotRunReason.SUSPECT
    assert refusal.retry_after_s > 0
    table.forgive(submit.fingerprint, [CrashId('x'), CrashId('y')])
    table.record_crash(submit.fingerprint, CrashId('x'))
    assert isolation.check(submit) is None
