"""Release notes are applied atomically, once and in order."""

import hashlib
from functools import partial

import pytest
from bench.fakes import CallFault, FakeStore, Step
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from figspread.config.document import load_fleet
from figspread.config.fleet import Fleet, Workspace
from figspread.duties.commit import (
    CommitConflict,
    CommitOutcome,
    Committed,
    CommitTooLarge,
    CommitUnavailable,
    CommitUnclear,
    commit,
)
from figspread.duties.distribution import load_newest
from figspread.duties.head import (
    DOCUMENT_KIND,
    Head,
    NoteText,
    list_history,
    load_note,
    read_head,
)
from figspread.ids import NoteId, WorkspaceId

_LONG_OUTAGE = tuple(CallFault.DOWN for _ in range(5))
_FAULTS = st.sampled_from(list(CallFault))


def _fleet(note: NoteId) -> Fleet:
    workspace = WorkspaceId(note)
    return Fleet(workspaces={workspace: Workspace(workspace, ())})


def _commit(store: FakeStore, note: str, against: int) -> CommitOutcome:
    text = NoteText(NoteId(note), 'text of {0}'.format(note))
    return commit(store, _fleet(text.note), note=text, against=against)


@pytest.mark.parametrize(
    ('plan', 'first', 'again'),
    [
        ([], Committed(1), Committed(1)),
        ([CallFault.DOWN], CommitUnavailable, Committed(1)),
        ([None, CallFault.DOWN], CommitUnavailable, Committed(1)),
        ([None, CallFault.ANSWER_LOST], Committed(1), Committed(1)),
        ([None, None, None, CallFault.DOWN], CommitUnavailable, Committed(1)),
        ([None, None, None, CallFault.ANSWER_LOST], Committed(1), Committed(1)),
        (
            [None, None, None, CallFault.REQUEST_LOST],
            Committed(1),
            Committed(1),
        ),
        (
            [None, None, None, CallFault.ANSWER_LOST, *_LONG_OUTAGE],
            CommitUnclear,
            Committed(1),
        ),
    ],
)
def test_commit_survives_fault_at_each_call(
    plan: list[Step],
    first: object,
    again: CommitOutcome,
) -> None:
    """A note can be committed again when it may not have been applied.

    It is applied once, whichever call to the store failed.
    """
    store = FakeStore()
    store.plan = plan
    outcome = _commit(store, 'one', 0)
    assert first in {outcome, type(outcome)}
    store.plan = []
    assert _commit(store, 'one', 0) == again


def test_clash_lists_notes_applied_first() -> None:
    """A note written against an old number is not applied."""
    store = FakeStore()
    assert _commit(store, 'one', 0) == Committed(1)
    assert _commit(store, 'two', 1) == Committed(2)
    match _commit(store, 'three', 0):
        case CommitConflict(2, notes):
            assert [mark.note for mark in notes] == ['one', 'two']
        case other:
            pytest.fail(str(other))
    marks = list_history(store).unwrap()
    assert load_note(store, marks[0]) == Ok(
        NoteText(NoteId('one'), 'text of one'),
    )


def test_reused_note_id_overwrites_nothing() -> None:
    """The configuration is unchanged and the commit gets `CommitConflict`."""
    store = FakeStore()
    assert _commit(store, 'one', 0) == Committed(1)
    before = load_newest(store)
    other = commit(
        store,
        _fleet(NoteId('x')),
        note=NoteText(NoteId('one'), ''),
        against=1,
    )
    marks = list_history(store).unwrap()
    assert other == CommitConflict(1, marks)
    assert load_newest(store) == before


def test_history_shows_applied_note_text() -> None:
    """A text left behind by a failed commit is not shown for a later note.

    Both notes have the same id, so their texts need different object names.
    """
    store = FakeStore()
    store.plan = [None, None, None, CallFault.DOWN]
    assert isinstance(_commit(store, 'one', 0), CommitUnavailable)
    other = NoteText(NoteId('one'), 'another text')
    fleet = _fleet(NoteId('x'))
    assert commit(store, fleet, note=other, against=0) == Committed(1)
    marks = list_history(store).unwrap()
    assert load_note(store, marks[0]) == Ok(other)


_Step = CallFault | str | None


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.lists(st.none() | _FAULTS | st.just('race'), max_size=6),
        ),
        max_size=6,
    ),
)
def test_operators_sharing_note_id_get_true_outcomes(
    commits: list[tuple[int, list[_Step]]],
) -> None:
    """An operator whose commit succeeds finds its own document and text.

    Guards against reporting another operator's note with the same id.
    """
    store = FakeStore()
    operators: list[tuple[Fleet, NoteText]] = []

    def send(against: int) -> None:
        who = 'operator-{0}'.format(len(operators))
        text = NoteText(NoteId('same'), 'text of {0}'.format(who))
        fleet = _fleet(NoteId(who))
        operators.append((fleet, text))
        outcome = commit(store, fleet, note=text, against=against)
        store.plan = []
        store.apply_delayed_writes()
        own = [
            mark.number
            for mark in list_history(store).unwrap()
            if load_note(store, mark) == Ok(text)
        ]
        match outcome:
            case Committed(number):
                assert own == [number]
            case CommitConflict() | CommitUnavailable():
                assert not own

    for against, steps in commits:
        store.plan = [
            partial(send, against) if isinstance(step, str) else step
            for step in steps
        ]
        send(against)
    for mark in list_history(store).unwrap():
        document = store.table.get(DOCUMENT_KIND, mark.document)
        assert document is not None
        kept = load_note(store, mark).unwrap()
        fleet = load_fleet(document.body).unwrap()
        pairs = [(list(sent.workspaces), text) for sent, text in operators]
        assert (list(fleet.workspaces), kept) in pairs


class RacingOperators(RuleBasedStateMachine):
    """Operators commit concurrently, with faults at any call."""

    def __init__(self) -> None:
        """Start with an empty store."""
        super().__init__()
        self.store = FakeStore()
        self.note_count = 0
        self.last_head = Head()
        self.outcomes: dict[str, CommitOutcome] = {}
        self.against: dict[str, int] = {}

    def _commit_racing_note(self) -> None:
        self._commit_and_check(self._create_note(0))

    def _create_note(self, behind: int) -> str:
        self.note_count += 1
        note = 'note-{0}'.format(self.note_count)
        self.against[note] = max(
            0, self._read_head_without_faults().number - behind
        )
        return note

    def _commit_and_check(self, note: str) -> None:
        outcome = _commit(self.store, note, self.against[note])
        before = self.outcomes.get(note, CommitUnavailable(''))
        match (before, outcome):
            case (Committed(), Committed()):
                assert outcome == before
            case (Committed(), CommitConflict()) | (
                CommitConflict(),
                Committed(),
            ):
                pytest.fail('{0} after {1}'.format(outcome, before))
            case (CommitUnavailable(), _) | (_, Committed() | CommitConflict()):
                self.outcomes[note] = outcome

    def _read_head_without_faults(self) -> Head:
        plan = self.store.plan
        self.store.plan = []
        found = read_head(self.store).unwrap()
        self.store.plan = plan
        return found.head

    @rule(
        behind=st.integers(0, 2),
        steps=st.lists(st.none() | _FAULTS | st.just('race'), max_size=12),
    )
    def commit_new(self, behind: int, steps: list[CallFault | str]) -> None:
        """Commit a note, with a fault or another commit at each call."""
        note = self._create_note(behind)
        self.store.plan = [
            self._commit_racing_note if isinstance(step, str) else step
            for step in steps
        ]
        self._commit_and_check(note)
        self.store.plan = []

    @rule(steps=st.lists(st.none() | _FAULTS, max_size=8))
    def send_again(self, steps: list[Step]) -> None:
        """Commit the last note again."""
        if self.note_count:
            self.store.plan = steps
            self._commit_and_check('note-{0}'.format(self.note_count))
            self.store.plan = []

    @rule()
    def deliver_late(self) -> None:
        """Apply writes that were delayed."""
        self.store.apply_delayed_writes()

    @invariant()
    def number_only_grows(self) -> None:
        """The number never decreases, and each note increases it by one."""
        head = self._read_head_without_faults()
        assert head.number >= self.last_head.number
        assert [mark.number for mark in head.history] == list(
            range(1, head.number + 1),
        )
        self.last_head = head

    @invariant()
    def reported_outcomes_hold(self) -> None:
        """The outcome reported for a note always agrees with the history."""
        applied = {
            mark.note: mark.number for mark in list_history(self.store).unwrap()
        }
        for note, outcome in self.outcomes.items():
            match outcome:
                case Committed(number):
                    assert applied[NoteId(note)] == number
                case CommitConflict() | CommitUnavailable():
                    assert note not in applied

    @invariant()
    def document_belongs_to_one_note(self) -> None:
        """The document in force is the whole document of exactly one note."""
        document = load_newest(self.store).unwrap()
        if document is not None:
            fleet = load_fleet(document).unwrap()
            assert fleet.number == self._read_head_without_faults().number
            assert list(fleet.workspaces) == [WorkspaceId(fleet.note)]


TestRacingOperators = RacingOperators.TestCase
TestRacingOperators.settings = settings(
    max_examples=120,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)


def test_too_large_document_is_not_applied() -> None:
    """A configuration over the store's size limit does not change the head."""
    store = FakeStore()
    rows = {
        WorkspaceId(str(row)): Workspace(
            WorkspaceId(str(row)),
            (hashlib.sha256(bytes(row)).hexdigest(),),
        )
        for row in range(30_000)
    }
    text = NoteText(NoteId('big'), '')
    outcome = commit(store, Fleet(workspaces=rows), note=text, against=0)
    match outcome:
        case CommitTooLarge(size_bytes, limit_bytes):
            assert size_bytes > limit_bytes
        case _:
            pytest.fail(str(outcome))
    assert read_head(store).unwrap().head == Head()
