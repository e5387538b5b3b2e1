"""Injects faults into upstreams and connections, and by callers."""

from collections.abc import Sequence
from typing import Final

from bench.faults.answers import Ending
from bench.faults.caller import CallRecord
from bench.faults.calls import Call, CallKind, make_calls, make_completion
from bench.faults.faults_processes import CALLS_BEFORE_FAULT
from bench.faults.load import LoadGenerator
from bench.faults.testbed import Testbed
from figspread.standins.engine_text import expected_answer

FAULTY_CALLS: Final = 4
TOKENS_BEFORE_FAULT: Final = 5
DISCONNECT_AFTER_BYTES: Final = 1500
CRASHING_PROMPT: Final = 'the pattern that no engine survives'
CRASHING_PROMPT_TOKENS: Final = 8
CRASHING_PROMPT_ANSWER: Final = expected_answer(
    CRASHING_PROMPT, CRASHING_PROMPT_TOKENS
)
CRASHING_CALLS: Final = 6
MAX_ENGINES_LOST: Final = 2


def leave_fault_to_callers(_testbed: Testbed, _load: LoadGenerator) -> None:
    """Inject nothing: the callers themselves disconnect early."""


def stall_connection(testbed: Testbed, load: LoadGenerator) -> None:
    """Stop all bytes between the entries and one agent; nothing is closed."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    assert testbed.relay is not None
    testbed.relay.stall()


def accept_and_never_answer(testbed: Testbed, load: LoadGenerator) -> None:
    """Make an engine accept some requests and never answer them."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    _set_engine_faults(testbed, silent=True, times=FAULTY_CALLS)


def stall_stream(testbed: Testbed, load: LoadGenerator) -> None:
    """Make an engine stop sending after some tokens, without an error."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    _set_engine_faults(
        testbed, silent_after_tokens=TOKENS_BEFORE_FAULT, times=FAULTY_CALLS
    )


def cut_stream(testbed: Testbed, load: LoadGenerator) -> None:
    """Make an engine close its connection after some tokens."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    _set_engine_faults(
        testbed, cut_after_tokens=TOKENS_BEFORE_FAULT, times=FAULTY_CALLS
    )


def cut_before_run(testbed: Testbed, load: LoadGenerator) -> None:
    """Make the service close connections before it runs the calls."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(
        testbed.service.upstream, cut_before_run=True, times=FAULTY_CALLS
    )


def cut_after_run(testbed: Testbed, load: LoadGenerator) -> None:
    """Make the service close connections in the middle of answers."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(
        testbed.service.upstream, cut_after_run=True, times=FAULTY_CALLS
    )


def cut_in_head(testbed: Testbed, load: LoadGenerator) -> None:
    """Make the service close connections in the middle of answers' heads."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(
        testbed.service.upstream, cut_in_head=True, times=FAULTY_CALLS
    )


def make_disconnecting_calls(seed: int) -> Sequence[Call]:
    """Return calls in which the callers of streams disconnect early.

    Only streams of more than `DISCONNECT_AFTER_BYTES` are affected, and none
    that has an idempotency key.
    """
    return [
        call._replace(disconnect_after_bytes=DISCONNECT_AFTER_BYTES)
        if call.kind is CallKind.STREAM and not call.key
        else call
        for call in make_calls(seed)
    ]


def make_crashing_calls(seed: int) -> Sequence[Call]:
    """Return calls among which one prompt crashes each engine that runs it.

    That prompt is sent `CRASHING_CALLS` times, to both entries in turn.
    """
    unrelated = list(make_calls(seed))
    crashing = [
        make_completion(
            len(unrelated) + index, CRASHING_PROMPT, CRASHING_PROMPT_TOKENS
        )._replace(
            entry_index=index % 2,
            start_delay_s=0.5 + index / 3,
        )
        for index in range(CRASHING_CALLS)
    ]
    return [*unrelated, *crashing]


def inject_crashing_prompt(testbed: Testbed, load: LoadGenerator) -> None:
    """Make a prompt crash engines and check how many are lost.

    At least one engine must crash, at most `MAX_ENGINES_LOST`, and all other
    completions must be answered.
    """
    for engine in testbed.engines:
        testbed.set_faults(engine.upstream, die_on_marker=CRASHING_PROMPT)
    records = load.join()
    for record in records:
        if (
            record.call.is_completion
            and record.call.expected_text != CRASHING_PROMPT_ANSWER
        ):
            _check_unrelated_call(testbed, record)
    lost = sum(1 for pair in testbed.engines if not pair.upstream.is_running)
    if not 1 <= lost <= MAX_ENGINES_LOST:
        testbed.unmet_expectations.append(
            'the crashing prompt ended {0} engines'.format(lost)
        )


def _check_unrelated_call(testbed: Testbed, record: CallRecord) -> None:
    verdicts = [attempt.verdict for attempt in record.attempts]
    if all(verdict.ending is not Ending.ANSWERED for verdict in verdicts):
        testbed.unmet_expectations.append(
            'the unrelated call {0} was not answered: {1}'.format(
                record.call.number,
                verdicts,
            ),
        )


def _set_engine_faults(testbed: Testbed, **faults: object) -> None:
    testbed.set_faults(testbed.engines[0].upstream, **faults)
