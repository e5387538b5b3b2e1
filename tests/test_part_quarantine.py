"""Tests of the decision which parts of prompts crash upstreams."""

import itertools
import random
import time
from collections import Counter

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figspread.ids import CrashId, PromptPartId
from figspread.policy.part_evidence import (
    EVIDENCE_TTL_S,
    MAX_CRASHES,
    PROVEN_CRASHES,
    InterruptedRequest,
    PartEvidence,
    PartGroup,
    RequestTag,
)
from figspread.policy.quarantine import (
    CONFIRM_S,
    FIRST_TRIAL_S,
    Allowed,
    OnTrial,
    Quarantine,
    QuarantineTable,
    Refused,
    begin_trial,
    trial_interval_s,
)

NOW = 1000.0
# An entry judges the evidence some times a second at most.
JUDGE_TIME_S = 0.1


def group(names: str) -> PartGroup:
    """Return the parts with these one-letter names."""
    return frozenset(map(PromptPartId, names))


class Event(msgspec.Struct, frozen=True):
    """A crash of the engine `crash` under a request, or an answer.

    `parts` are one-letter names. An answer has no `crash`.
    """

    at_s: float
    parts: str
    crash: str = ''
    request: str = ''


def record(evidence: PartEvidence, event: Event) -> None:
    """Record an event as one entry tells it to another."""
    if not event.crash:
        evidence.record_answered(group(event.parts), event.at_s)
        return
    tag = RequestTag(event.request or '{0}{1}'.format(event.parts, event.at_s))
    evidence.record_interrupted(
        CrashId(event.crash),
        event.at_s,
        InterruptedRequest(tag, group(event.parts)),
    )


def find_blamed(
    events: list[Event], running: Counter[str] = Counter()
) -> list[str]:
    """Return the groups that are blamed at `NOW`, with sorted names."""
    evidence = PartEvidence()
    for event in events:
        record(evidence, event)
    groups = evidence.find_groups(NOW, (), running.__getitem__)
    return [''.join(sorted(parts)) for parts in groups]


def crashes(parts: str, times_s: list[float], engines: str = '') -> list[Event]:
    """Return a crash of another engine under another request at each time."""
    return [
        Event(at_s, parts, '{0}{1}{2}'.format(engines, parts, at_s))
        for at_s in times_s
    ]


LATELY = [NOW - 3, NOW - 2, NOW - 1]
OFTEN = [NOW - 4 + number / 2 for number in range(8)]

BLAMED: dict[str, tuple[list[Event], Counter[str], list[str]]] = {
    'three crashes under a part without an answer': (
        crashes('p', LATELY),
        Counter(),
        ['p'],
    ),
    'two crashes': (crashes('p', LATELY[1:]), Counter(), []),
    'three crashes at one moment': (
        crashes('p', [NOW - 1, NOW - 0.99, NOW - 0.98]),
        Counter(),
        [],
    ),
    'three crashes under one request': (
        [Event(at_s, 'p', 'e{0}'.format(at_s), request='r') for at_s in LATELY],
        Counter(),
        [],
    ),
    'a part beside it was answered': (
        [*crashes('ap', LATELY), Event(NOW - 10, 'a')],
        Counter(),
        ['p'],
    ),
    'parts that always come together': (
        crashes('pq', LATELY),
        Counter(),
        ['pq'],
    ),
    'one of them came alone': (
        [*crashes('pq', LATELY[:2]), *crashes('p', LATELY[2:])],
        Counter(),
        ['p'],
    ),
    'a sound part was there by chance': (
        [
            *crashes('p', OFTEN),
            *(
                Event(event.at_s, 's', event.crash)
                for event in crashes('p', OFTEN)[:4]
            ),
        ],
        Counter(),
        ['p'],
    ),
    'two deadly parts with a common one that is answered': (
        [
            *crashes('ap', LATELY),
            *crashes('aq', [at_s + 0.5 for at_s in LATELY]),
            Event(NOW - 0.2, 'a'),
        ],
        Counter(),
        ['q', 'p'],
    ),
    'two deadly parts with a common one that answers arrive for': (
        [
            *crashes('ap', LATELY),
            *crashes('aq', [at_s + 0.5 for at_s in LATELY]),
        ],
        Counter(a=9),
        ['q', 'p'],
    ),
    'more answers arrive than crashes': (
        crashes('p', LATELY),
        Counter(p=3),
        [],
    ),
    'an answer after the crashes': (
        [*crashes('p', LATELY), Event(NOW - 0.5, 'p')],
        Counter(),
        [],
    ),
    'an answer before three crashes': (
        [*crashes('p', LATELY), Event(NOW - 4, 'p')],
        Counter(),
        [],
    ),
    'a part that has become deadly': (
        [*crashes('p', OFTEN), Event(NOW - 5, 'p')],
        Counter(),
        ['p'],
    ),
    'a part that was answered a moment ago': (
        [*crashes('p', OFTEN), Event(NOW - 4.5, 'a'), Event(NOW - 0.1, 'p')],
        Counter(),
        [],
    ),
    'answers of long ago prove nothing': (
        [*crashes('p', LATELY), Event(NOW - EVIDENCE_TTL_S - 1, 'p')],
        Counter(),
        ['p'],
    ),
}


@pytest.mark.parametrize('name', BLAMED)
def test_blamed_parts_are_those_that_explain_crashes(name: str) -> None:
    """Blame what crashes have in common and no answer contains."""
    events, running, blamed = BLAMED[name]
    assert find_blamed(events, running) == blamed


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.builds(
            Event,
            st.sampled_from([NOW - 9, NOW - 8, NOW - 7, NOW - 3, NOW - 1]),
            st.sampled_from(['ap', 'aq', 'as', 'p', 's', 'sp']),
            st.sampled_from(['', 'e1', 'e2', 'e3', 'e4', 'e5']),
            st.sampled_from(['r1', 'r2', 'r3']),
        ),
        max_size=24,
    ),
    st.randoms(use_true_random=False),
)
def test_any_order_of_evidence_gives_the_same_verdict(
    events: list[Event], rng: random.Random
) -> None:
    """Judge the same way at each entry, whatever it heard first or twice."""
    shuffled = [*events, *events[: len(events) // 2]]
    rng.shuffle(shuffled)
    assert find_blamed(events) == find_blamed(shuffled)


def play_traffic(seed: int, deadly: str, seconds: float) -> QuarantineTable:
    """Return the verdicts after random traffic with some deadly parts.

    Ten engines run up to four requests each, of 0.4 to 2 s. A request that
    begins with a deadly part ends its engine, with all others there. Engines
    die of other causes too.
    """
    rng = random.Random(seed)
    table = QuarantineTable(PartEvidence(), lambda part: 0)
    running: list[list[tuple[float, str, str]]] = [[] for _ in range(10)]
    now, number = NOW, 0

    def crash(engine: int) -> None:
        name = CrashId('{0}/{1}'.format(engine, now))
        for _, parts, tag in running[engine]:
            table.evidence.record_interrupted(
                name, now, InterruptedRequest(RequestTag(tag), group(parts))
            )
        running[engine].clear()

    while now < NOW + seconds:
        now += 0.05
        number += 1
        for requests in running:
            for row in tuple(requests):
                if row[0] <= now:
                    requests.remove(row)
                    table.record_answered(group(row[1]), now)
        parts = 'a{0}{1}'.format(rng.choice('bcd'), rng.choice('efghijk'))
        if rng.random() < 0.15:
            parts = parts[: rng.randrange(3)] + rng.choice(deadly) + parts[1:2]
        if isinstance(table.judge(group(parts), now), Allowed):
            engine = rng.randrange(10)
            end_s = now + rng.uniform(0.4, 2)
            running[engine].append((end_s, parts, str(number)))
            if group(parts) & group(deadly):
                crash(engine)
        if rng.random() < 0.02:
            crash(rng.randrange(10))
        table.update(now)
    return table


@pytest.mark.parametrize('seed', range(12))
def test_exactly_the_deadly_parts_are_quarantined(seed: int) -> None:
    """Find several deadly parts among sound ones while engines die."""
    table = play_traffic(seed, 'XYZ', 40)
    found = {quarantine.group for quarantine in table.list_all()}
    assert found == {group('X'), group('Y'), group('Z')}


def make_table(
    blamed: str = 'p', since_s: float = NOW
) -> tuple[QuarantineTable, Quarantine]:
    """Return a table with one quarantine, found at `since_s`."""
    table = QuarantineTable(PartEvidence(), lambda part: 0)
    for event in crashes(blamed, [since_s - 3, since_s - 2, since_s - 1]):
        record(table.evidence, event)
    added, ended = table.update(since_s)
    assert not ended
    return table, added[0]


def test_only_requests_with_all_blamed_parts_are_refused() -> None:
    """Let a request with one of two parts that always came together run."""
    table, quarantine = make_table('pq')
    later_s = NOW + CONFIRM_S
    assert table.judge(group('apq'), later_s) == Refused(
        quarantine, NOW + FIRST_TRIAL_S
    )
    assert table.judge(group('ap'), later_s) == Allowed()
    # The other part is left if one of them turns out to be sound.
    assert table.record_answered(group('ap'), later_s) == [group('p')]
    assert isinstance(table.judge(group('q'), later_s), Refused)
    assert table.judge(group('p'), later_s) == Allowed()


def test_quarantine_holds_without_its_evidence() -> None:
    """Refuse a part for as long as requests with it come."""
    table, _ = make_table()
    now = NOW + 1
    table.update(now)
    for number in range(MAX_CRASHES):
        record(table.evidence, Event(now, 's', 'e{0}'.format(number)))
    assert table.update(now + 1) == ([], [])
    assert isinstance(table.judge(group('p'), now + 1), Refused)


def test_part_that_has_become_deadly_stays_quarantined() -> None:
    """Keep what others have found, with too few crashes known to judge it."""
    table = QuarantineTable(PartEvidence(), lambda part: 0)
    table.record_answered(group('p'), NOW - 9)
    for event in crashes('p', LATELY):
        record(table.evidence, event)
    assert table.update(NOW) == ([], [])
    assert table.adopt(Quarantine(group('p'), NOW - 1, NOW + 9, NOW))
    assert table.update(NOW) == ([], [])
    assert isinstance(table.judge(group('p'), NOW), Refused)


def test_trials_of_a_part_become_rarer_until_one_is_answered() -> None:
    """Try a quarantined part with single requests."""
    table, quarantine = make_table()
    now = NOW + FIRST_TRIAL_S
    sent_s = []
    while now < NOW + 3000:
        now += 0.5
        if isinstance(table.judge(group('p'), now), OnTrial):
            begin_trial(quarantine, now)
            sent_s.append(now)
        table.update(now)
    gaps_s = [later - first for first, later in itertools.pairwise(sent_s)]
    assert gaps_s == [trial_interval_s(1), trial_interval_s(2)]
    assert table.record_answered(group('ap'), now) == [group('p')]
    assert table.judge(group('p'), now) == Allowed()


ADOPTED = {
    'news': (Quarantine(group('s'), NOW - 9, NOW + 9, NOW), True),
    'refuted by an answer since': (
        Quarantine(group('a'), NOW - 9, NOW + 9, NOW),
        False,
    ),
    'an answer before it does not refute it': (
        Quarantine(group('a'), NOW - 4, NOW + 9, NOW),
        True,
    ),
    'known': (Quarantine(group('p'), NOW - 9, NOW + 9, NOW), False),
    'more trials are known elsewhere': (
        Quarantine(group('p'), NOW - 9, NOW + 900, NOW, 1),
        True,
    ),
}


def test_parts_that_came_together_are_adopted_with_their_evidence() -> None:
    """Refuse them at once, but not for long without evidence."""
    table, _ = make_table()
    told = Quarantine(group('st'), NOW - 9, NOW + 9, NOW)
    assert table.adopt(told)
    assert isinstance(table.judge(group('st'), NOW), Refused)
    assert table.update(NOW) == ([], [told])
    table.adopt(told)
    for event in crashes('st', LATELY):
        record(table.evidence, event)
    assert table.update(NOW) == ([], [])
    assert isinstance(table.judge(group('st'), NOW), Refused)


@pytest.mark.parametrize('name', ADOPTED)
def test_quarantines_of_other_entries_are_adopted(name: str) -> None:
    """Take over what others have found unless an answer refutes it."""
    told, is_news = ADOPTED[name]
    table, _ = make_table()
    table.evidence.record_answered(group('a'), NOW - 5)
    assert table.adopt(told) is is_news
    later_s = max(NOW, told.since_s) + CONFIRM_S
    is_refused = isinstance(table.judge(told.group, later_s), Refused)
    assert is_refused is (is_news or name == 'known')
    # It is not forgotten for want of evidence of this entry's own.
    table.update(later_s)
    assert isinstance(table.judge(told.group, later_s), Refused) is is_refused


def test_answer_that_began_before_a_part_became_deadly_proves_nothing() -> None:
    """Blame a part although earlier answers with it end meanwhile."""
    table = QuarantineTable(PartEvidence(), lambda part: 0)
    table.record_answered(group('p'), NOW - 9)
    now = NOW
    for number in range(PROVEN_CRASHES):
        now += 0.3
        record(table.evidence, Event(now, 'p', 'e{0}'.format(number)))
        # It began before the first of the crashes.
        table.record_answered(group('p'), NOW - 3)
        table.update(now)
    assert [found.group for found in table.list_all()] == [group('p')]


def test_prompts_with_many_parts_are_judged_in_little_time() -> None:
    """Find a deadly part in prompts of hundreds of parts."""
    evidence = PartEvidence()
    for number in range(40):
        parts = [
            PromptPartId('{0}.{1}'.format(number, part)) for part in range(400)
        ]
        request = InterruptedRequest(
            RequestTag(str(number)), frozenset((*parts, PromptPartId('p')))
        )
        evidence.record_interrupted(
            CrashId(str(number)), NOW - 40 + number, request
        )
    started_s = time.process_time()
    assert evidence.find_groups(NOW, (), lambda part: 0) == [group('p')]
    assert time.process_time() - started_s < JUDGE_TIME_S
