"""A call to the upstream, made and read in a worker thread."""

import asyncio
import threading
from collections.abc import Callable
from concurrent.futures import Executor
from contextlib import suppress
from typing import TypeAlias

from result import Err, Ok, Result

from figspread.agent.byte_stream import ByteStream
from figspread.upstream.types import (
    Answer,
    Call,
    UpstreamFault,
    UpstreamFaultKind,
)

SendCall: TypeAlias = Callable[[Call], Result[Answer, UpstreamFault]]


class UpstreamStream:
    """The bytes of one answer, for one task of the event loop.

    `has_begun` is exact: while it is false no byte has gone to the upstream,
    and after `cut` has returned false none ever will.
    """

    def __init__(self, send_call: SendCall, call: Call) -> None:
        """Prepare `call`; nothing is sent before `open`."""
        self._loop = asyncio.get_running_loop()
        self._send_call = send_call
        self._call = call
        self._lock = threading.Lock()
        self._has_begun = False
        self._is_cut = False
        self._answer: Answer | None = None
        self._opened: asyncio.Future[Result[Answer, UpstreamFault]] = (
            self._loop.create_future()
        )
        self.received = ByteStream(self._loop)
        self.fault: UpstreamFault | None = None

    async def open(self, executor: Executor) -> Result[Answer, UpstreamFault]:
        """Send the call from a thread of `executor`; return the answer's head.

        The bytes then arrive in `pipe`; at its end `fault` says whether the
        answer is whole.
        """
        executor.submit(self._run)
        return await self._opened

    def cut(self) -> bool:
        """Stop the call; tell whether it may have reached the upstream."""
        with self._lock:
            self._is_cut = True
            answer = self._answer
        self.received.close()
        if answer is not None:
            answer.close()
        return self._has_begun

    def _run(self) -> None:
        with self._lock:
            if self._is_cut:
                return
            self._has_begun = True
        try:
            self._send()
        except Exception as exc:
            # A client that raises has broken its promise; the attempt ends
            # like any other that was cut off.
            self.fault = UpstreamFault(UpstreamFaultKind.BROKEN, repr(exc))
            self._tell(Err(self.fault))
        self.received.end()

    def _send(self) -> None:
        opened = self._send_call(self._call)
        if isinstance(opened, Err):
            self.fault = opened.err_value
            self._tell(opened)
            return
        answer = opened.ok_value
        with self._lock:
            self._answer = answer
            is_cut = self._is_cut
        if not is_cut:
            self._tell(Ok(answer))
            self._copy(answer)
        answer.close()

    def _copy(self, answer: Answer) -> None:
        for data in answer:
            if not self.received.write(data):
                return
        self.fault = answer.fault

    def _tell(self, opened: Result[Answer, UpstreamFault]) -> None:
        # A loop that has stopped has nobody left to tell.
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(_resolve, self._opened, opened)


def _resolve(
    waiting: asyncio.Future[Result[Answer, UpstreamFault]],
    opened: Result[Answer, UpstreamFault],
) -> None:
    if not waiting.done():
        waiting.set_result(opened)
