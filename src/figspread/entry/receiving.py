"""What an entry allows callers to send, and its refusals before a request is whole."""

import resource
from functools import partial
from typing import Final

import msgspec

from figspread.config.settings import HttpSettings
from figspread.entry.drain import LEAVING
from figspread.entry.gate import Gate
from figspread.entry.held_bytes import ByteBudget, HeldBytes
from figspread.entry.pages import AT_CAPACITY, BODY_TIME_LIMIT_S
from figspread.entry.problem import build_problem, build_problem_headers
from figspread.http.receive_options import ReceiveFault, ReceiveOptions
from figspread.ids import new_request_id
from figspread.outcome import NotRun, NotRunReason
from figspread.telemetry.closing_reports import ClosingReports

# Parts of `buffer_limit_bytes`: for requests that are arriving, for bodies of whole
# ones, and for answers in one piece. The last two are copied up to three times.
RECEIVING_DIVISOR: Final = 4
BODIES_DIVISOR: Final = 8
ANSWERS_DIVISOR: Final = 8
DESCRIPTORS_DIVISOR: Final = 2
_LATE_STATUS: Final = 408
_REFUSALS: Final = {
    ReceiveFault.TOO_LARGE: NotRun(
        NotRunReason.TOO_LARGE, 0, 'the body is too large'
    ),
    ReceiveFault.NO_LENGTH: NotRun(
        NotRunReason.BAD_REQUEST, 0, 'Content-Length is needed'
    ),
    ReceiveFault.NO_ROOM: NotRun(
        NotRunReason.OVERLOAD, 1, 'all requests hold too much'
    ),
    ReceiveFault.LATE: NotRun(
        NotRunReason.BAD_REQUEST, 0, 'the request came too slowly'
    ),
    ReceiveFault.CUT: NotRun(
        NotRunReason.BAD_REQUEST, 0, 'the body ended early'
    ),
    ReceiveFault.FULL: AT_CAPACITY,
    ReceiveFault.LEAVING: LEAVING,
}


class MemoryBudgets(msgspec.Struct, frozen=True):
    """The parts of `buffer_limit_bytes`; each fits a longest body."""

    receiving_bytes: int
    bodies: ByteBudget
    answers: ByteBudget


def plan_budgets(cfg: HttpSettings) -> MemoryBudgets:
    """Return the budgets for the settings."""
    return MemoryBudgets(
        max(cfg.buffer_limit_bytes // RECEIVING_DIVISOR, cfg.body_limit_bytes),
        ByteBudget(
            max(cfg.buffer_limit_bytes // BODIES_DIVISOR, cfg.body_limit_bytes)
        ),
        ByteBudget(cfg.buffer_limit_bytes // ANSWERS_DIVISOR),
    )


def limit_connections(wanted: int) -> int:
    """Return how many connections callers may have.

    They leave half of the descriptors of the process to everything else.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return wanted
    return max(1, min(wanted, descriptors // DESCRIPTORS_DIVISOR))


def make_receive_options(
    cfg: HttpSettings,
    connections: int,
    budgets: MemoryBudgets,
    gate: Gate,
    closings: ClosingReports,
) -> ReceiveOptions:
    """Return how callers' requests are received."""
    return ReceiveOptions(
        connections=connections,
        body_bytes=cfg.body_limit_bytes,
        receiving_bytes=budgets.receiving_bytes,
        body_timeout_s=BODY_TIME_LIMIT_S,
        hold=partial(_hold_body, budgets.bodies),
        find_fault=partial(_find_fault, gate),
        build_refusal=build_refusal,
        report=closings.record,
        tick=closings.flush,
    )


def build_refusal(fault: ReceiveFault) -> bytes:
    """Return the response to a request that no thread serves."""
    problem = build_problem(_REFUSALS[fault], new_request_id())
    if fault is ReceiveFault.LATE:
        problem = msgspec.structs.replace(
            problem, status=_LATE_STATUS, title='Request Timeout'
        )
    body = msgspec.json.encode(problem)
    fields = {
        **build_problem_headers(problem),
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
    lines = ['HTTP/1.1 {0} {1}'.format(problem.status, problem.title)]
    lines += ['{0}: {1}'.format(*field) for field in fields.items()]
    return '\r\n'.join((*lines, '', '')).encode() + body


def _hold_body(budget: ByteBudget, size: int) -> HeldBytes | None:
    held = HeldBytes(budget)
    return held if held.try_hold_body(size) else None


def _find_fault(gate: Gate) -> ReceiveFault | None:
    if gate.is_closed:
        return ReceiveFault.LEAVING
    return ReceiveFault.FULL if gate.is_full else None
