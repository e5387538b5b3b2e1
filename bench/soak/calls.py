"""The requests of a soak, and their answers."""

import asyncio
import random
from collections.abc import Sequence
from typing import Final, Self

import msgspec

from bench.giftwrap.caller import Answer, Caller, KeepingCaller
from figspread.http1.answers import ExchangeError
from figspread.http1.client import Unreachable

# Timeout that callers send with a request.
TIMEOUT_S: Final = 4.0
# How long past its timeout a caller waits for a request to end.
HANG_GRACE_S: Final = 6.0
OUTPUT_TOKENS: Final = 920
# Prompt tokens by route; requests to other routes state no token usage.
PROMPT_TOKENS: Final = {'caption': 5000, 'once': 5000, 'giant': 700_000}
# Shares of the requests on kept connections, and of those with bodies in chunks.
KEPT_SHARE: Final = 0.4
CHUNKED_SHARE: Final = 0.3
# How much of a body is printed.
BODY_END_BYTES: Final = 40
_MS_PER_S: Final = 1000


class CallPlan(msgspec.Struct, frozen=True):
    """A request to the entry with the number `entry`.

    With `is_kept`, it goes over a connection that others have used or will use.
    """

    request: str
    route: str
    entry: int
    timeout_s: float = TIMEOUT_S
    output_tokens: int = OUTPUT_TOKENS
    is_kept: bool = False
    is_chunked: bool = False

    @classmethod
    def draw(
        cls, rng: random.Random, request: str, route: str, entry: int
    ) -> Self:
        """Return a request with a random kind of connection and body."""
        return cls(
            request,
            route,
            entry,
            is_kept=rng.random() < KEPT_SHARE,
            is_chunked=rng.random() < CHUNKED_SHARE,
        )


class Call(msgspec.Struct, frozen=True):
    """A request and its answer; times are seconds since the run's start.

    `timeout_s` is the caller's timeout. `answer` is `None` if there was no
    connection, it broke before the request was sent or the caller gave up waiting.
    `last_byte_s` is when the request's last byte was sent.
    """

    request: str
    route: str
    entry: int
    sent_s: float
    ended_s: float
    timeout_s: float
    answer: Answer | None
    last_byte_s: float = 0
    output_tokens: int = OUTPUT_TOKENS

    def __str__(self) -> str:
        """Return a line with the end of the body in place of all of it."""
        return (
            '{0} ({1}) at entry {2}, {3:.2f} to {4:.2f} s, last byte {5:.2f} s, '
            'timeout {6} s: {7}'.format(
                self.request,
                self.route,
                self.entry,
                self.sent_s,
                self.ended_s,
                self.last_byte_s,
                self.timeout_s,
                _describe_answer(self.answer),
            )
        )

    @property
    def is_unsent(self) -> bool:
        """Whether the entry took no connection, or ended it too early."""
        has_time = self.ended_s - self.sent_s < self.timeout_s
        return self.answer is None and has_time

    @property
    def is_cut(self) -> bool:
        """Whether the connection ended without a complete answer."""
        return self.answer is not None and not self.answer.is_complete


class CallSender:
    """Sends requests to entries, over new connections and kept ones."""

    def __init__(self, addresses: Sequence[str], started_s: float) -> None:
        """Send to the entries at `addresses`.

        `started_s` is the event loop's time at the run's start.
        """
        self._callers = [Caller(address) for address in addresses]
        self._keeping = [KeepingCaller(address) for address in addresses]
        self._started_s = started_s

    async def send(self, plan: CallPlan) -> Call:
        """Send a request and wait for its end."""
        callers = self._keeping if plan.is_kept else self._callers
        sent_s = self._now()
        answer: Answer | None = None
        try:
            async with asyncio.timeout(plan.timeout_s + HANG_GRACE_S):
                answer = await _call(callers[plan.entry], plan)
        except (ExchangeError, Unreachable, TimeoutError):
            answer = None
        return Call(
            plan.request,
            plan.route,
            plan.entry,
            sent_s,
            self._now(),
            plan.timeout_s,
            answer,
            0 if answer is None else answer.sent_s - self._started_s,
            plan.output_tokens,
        )

    def close(self) -> None:
        """Close the kept connections."""
        for caller in self._keeping:
            caller.close()

    def _now(self) -> float:
        return asyncio.get_running_loop().time() - self._started_s


def _describe_answer(answer: Answer | None) -> str:
    if answer is None:
        return 'no answer'
    return '{0}, {1}, {2} bytes, ...{3!r}, signature {4!r}'.format(
        answer.status,
        'whole' if answer.is_complete else 'cut',
        len(answer.body),
        answer.body[-BODY_END_BYTES:],
        answer.signature,
    )


async def _call(caller: Caller, plan: CallPlan) -> Answer:
    prompt_tokens = PROMPT_TOKENS.get(plan.route)
    usage = '{0},{1}'.format(prompt_tokens, plan.output_tokens)
    # Sound prompts share the first part of deadly ones.
    parts = 'common:40,{0}:40'.format(plan.request)
    return await caller.call(
        'caption' if plan.route == 'giant' else plan.route,
        usage=usage if prompt_tokens else '',
        limit_ms=round(plan.timeout_s * _MS_PER_S),
        request_id=plan.request,
        body=plan.request.encode(),
        parts=parts if prompt_tokens else '',
        is_chunked=plan.is_chunked,
    )
