"""Finds the parts of prompts that crash upstreams, from crashes and answers.

Requests that differ may share parts of their prompts. An upstream that crashes
interrupts all requests that it runs, so one crash says little; what several
crashes have in common, and no answer contains, caused them.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final, NewType, TypeAlias

import msgspec

from figspread.ids import CrashId, PromptPartId

RequestTag = NewType('RequestTag', str)
PartGroup: TypeAlias = frozenset[PromptPartId]

# Crashes that come together mostly have one cause, such as a lost rack, and
# count as one.
SEPARATE_CRASHES_S: Final = 0.1
# Separate crashes, and different requests, after which a part that no answer
# has contained is blamed.
UNPROVEN_CRASHES: Final = 3
BLAMED_REQUESTS: Final = 2
# The same for a part that answers have contained, and the time without such an
# answer. A part may become deadly, with new weights for example.
PROVEN_CRASHES: Final = 5
PROVEN_SILENCE_S: Final = 2.5
# An answer proves the parts of its prompt sound for this time, and a crash
# counts against them for as long.
EVIDENCE_TTL_S: Final = 600.0
# Bounds of the memory: crashes, and parts of answered prompts.
MAX_CRASHES: Final = 256
MAX_ANSWERED_PARTS: Final = 4096
# Parts of one request that are kept as evidence.
MAX_PARTS: Final = 512


class InterruptedRequest(msgspec.Struct, frozen=True):
    """A request that a crash interrupted, with the shared parts of its prompt.

    `request` is the same for repeats of a request.
    """

    request: RequestTag
    parts: PartGroup


class Crash(msgspec.Struct):
    """A crash at clock time `crashed_s`, and the requests it interrupted."""

    crashed_s: float
    requests: set[InterruptedRequest]

    def has_group(self, group: PartGroup) -> bool:
        """Return whether a request with all parts of `group` was there."""
        return any(group <= request.parts for request in self.requests)


class PartEvidence:
    """The crashes and answers that all entries have told of.

    Rows may come in any order and repeatedly, with the same result.
    """

    def __init__(self) -> None:
        """Start without evidence."""
        self._crashes: OrderedDict[CrashId, Crash] = OrderedDict()
        self._crashed_s: dict[PromptPartId, float] = {}
        self._interruptions: Counter[PromptPartId] = Counter()
        self._answered_s: OrderedDict[PromptPartId, float] = OrderedDict()

    def list_crashes(self) -> list[tuple[CrashId, Crash]]:
        """Return all known crashes."""
        return list(self._crashes.items())

    def record_interrupted(
        self, crash: CrashId, crashed_s: float, request: InterruptedRequest
    ) -> bool:
        """Record a request that was interrupted; return whether it is new."""
        if not request.parts:
            return False
        if len(request.parts) > MAX_PARTS:
            request = self._shorten(request)
        known = self._crashes.setdefault(crash, Crash(crashed_s, set()))
        known.crashed_s = min(known.crashed_s, crashed_s)
        if request in known.requests:
            return False
        known.requests.add(request)
        self._count_interruption(request, crashed_s)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
            self._find_crashed_parts()
        return True

    def is_explained(self, crash: CrashId, group: PartGroup) -> bool:
        """Return whether a crash interrupted a request with all of `group`."""
        known = self._crashes.get(crash)
        return known is not None and known.has_group(group)

    def is_sufficient(self, group: PartGroup) -> bool:
        """Return whether enough crashes are known to judge `group` by them."""
        crashed_s = (
            crash.crashed_s
            for crash in self._crashes.values()
            if crash.has_group(group)
        )
        is_proven = any(part in self._answered_s for part in group)
        limit = PROVEN_CRASHES if is_proven else UNPROVEN_CRASHES
        return count_separate(crashed_s) >= limit

    def record_answered(
        self, parts: Iterable[PromptPartId], answered_s: float
    ) -> None:
        """Record that a prompt got a whole answer, which began at that time."""
        for part in parts:
            known_s = self._answered_s.pop(part, answered_s)
            self._answered_s[part] = max(known_s, answered_s)
        while len(self._answered_s) > MAX_ANSWERED_PARTS:
            self._answered_s.popitem(last=False)

    def answered_s(self, part: PromptPartId) -> float:
        """Return when a prompt with `part` was answered last, if ever."""
        return self._answered_s.get(part, float('-inf'))

    def crashed_s(self, part: PromptPartId) -> float:
        """Return when a crash last interrupted a prompt with `part`."""
        return self._crashed_s.get(part, float('-inf'))

    def list_crashed_parts(self) -> list[PromptPartId]:
        """Return the parts of all prompts that crashes interrupted."""
        return list(self._crashed_s)

    def drop_old(self, now: float) -> None:
        """Forget crashes that no longer count."""
        old = [
            crash_id
            for crash_id, crash in self._crashes.items()
            if crash.crashed_s < now - EVIDENCE_TTL_S
        ]
        for crash_id in old:
            self._crashes.pop(crash_id)
        if old:
            self._find_crashed_parts()

    def find_groups(
        self,
        now: float,
        known: Collection[PartGroup],
        count_running: Callable[[PromptPartId], int],
    ) -> list[PartGroup]:
        """Return the groups of parts that explain crashes best.

        Crashes under a group in `known` are explained already. Parts that no
        answer has contained come first. All requests that speak against a part
        may share others too; then the group has these as well, and only a
        request with all of them is known to be deadly. `count_running` returns
        how many answers with a part are arriving now, which speak for it.
        """
        unexplained = [
            crash
            for crash in self._crashes.values()
            if not any(crash.has_group(group) for group in known)
        ]
        groups: list[PartGroup] = []
        for is_proven in (False, True):
            while True:
                group = self._find_group(
                    now, unexplained, count_running, is_proven=is_proven
                )
                if not group:
                    break
                groups.append(group)
                unexplained = [
                    crash for crash in unexplained if not crash.has_group(group)
                ]
        return groups

    def _shorten(self, request: InterruptedRequest) -> InterruptedRequest:
        """Keep the parts with most against them, by what is known so far."""
        ranked = sorted(
            request.parts,
            key=lambda part: (
                -self.crashed_s(part),
                self.answered_s(part),
                part,
            ),
        )
        return InterruptedRequest(
            request.request, frozenset(ranked[:MAX_PARTS])
        )

    def _find_crashed_parts(self) -> None:
        self._crashed_s = {}
        self._interruptions.clear()
        for crash in self._crashes.values():
            for request in crash.requests:
                self._count_interruption(request, crash.crashed_s)

    def _count_interruption(
        self, request: InterruptedRequest, crashed_s: float
    ) -> None:
        self._interruptions.update(request.parts)
        for part in request.parts:
            latest_s = max(self.crashed_s(part), crashed_s)
            self._crashed_s[part] = latest_s

    def _find_group(
        self,
        now: float,
        crashes: list[Crash],
        count_running: Callable[[PromptPartId], int],
        *,
        is_proven: bool,
    ) -> PartGroup:
        """Return the group of the part with most crashes, or an empty one."""
        limit = PROVEN_CRASHES if is_proven else UNPROVEN_CRASHES
        cases = self._collect_cases(now, crashes, is_proven=is_proven)
        scores: dict[PromptPartId, tuple[bool, int, int]] = {}
        for part, case in cases.items():
            separate = count_separate(case.crashed_s)
            running = count_running(part)
            if separate >= limit and separate > running:
                scores[part] = (not running, separate, len(case.requests))
        blamed = [
            name
            for name in scores
            if len(cases[name].requests) >= BLAMED_REQUESTS
        ]
        if not blamed:
            return frozenset()
        worst = max(blamed, key=lambda name: (scores[name], name))
        return frozenset(scores).intersection(*cases[worst].part_sets)

    def _collect_cases(
        self, now: float, crashes: Iterable[Crash], *, is_proven: bool
    ) -> dict[PromptPartId, '_Case']:
        cases: defaultdict[PromptPartId, _Case] = defaultdict(_Case)
        for crash in crashes:
            for part, request in _list_frequent(crash, self._interruptions):
                answered_s = self.answered_s(part)
                was_answered = answered_s > now - EVIDENCE_TTL_S
                if was_answered is not is_proven:
                    continue
                is_silent = answered_s < now - PROVEN_SILENCE_S
                if is_silent and crash.crashed_s > answered_s:
                    cases[part].add(crash.crashed_s, request)
        return dict(cases)


class _Case:
    """What speaks against one part."""

    def __init__(self) -> None:
        self.requests: set[RequestTag] = set()
        self.part_sets: set[PartGroup] = set()
        self.crashed_s: set[float] = set()

    def add(self, crashed_s: float, request: InterruptedRequest) -> None:
        """Add a crash that interrupted `request`."""
        self.crashed_s.add(crashed_s)
        self.requests.add(request.request)
        self.part_sets.add(request.parts)


def count_separate(crashed_s: Iterable[float]) -> int:
    """Return the number of crashes at these times, close ones as one.

    >>> count_separate([1, 1.05, 2])
    2
    """
    count = 0
    counted_s = float('-inf')
    for at_s in sorted(crashed_s):
        if at_s >= counted_s + SEPARATE_CRASHES_S:
            count += 1
            counted_s = at_s
    return count


def _list_frequent(
    crash: Crash, interruptions: Counter[PromptPartId]
) -> Iterator[tuple[PromptPartId, InterruptedRequest]]:
    """Yield the parts that were interrupted often enough to be blamed."""
    for request in crash.requests:
        for part in request.parts:
            if interruptions[part] >= UNPROVEN_CRASHES:
                yield part, request
