"""Runs a call to the upstream in a worker thread and streams its answer."""

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
    UpstreamCall,
    UpstreamFault,
    UpstreamFaultKind,
)

SendCall: TypeAlias = Callable[[UpstreamCall], Result[Answer, UpstreamFault]]


class UpstreamStream:
    """The answer of one call, read by one task of the event loop.

    While `abort` would return false, no byte has been sent to the upstream;
    once it has returned false, none will be.
    """

    def __init__(self, send_call: SendCall, call: UpstreamCall) -> None:
        """Prepare `call`; `open` sends it."""
        self._loop = asyncio.get_running_loop()
        self._send_call = send_call
        self._call = call
        self._lock = threading.Lock()
        self._has_begun = False
        self._is_aborted = False
        self._answer: Answer | None = None
        self._opened: asyncio.Future[Result[Answer, UpstreamFault]] = (
            self._loop.create_future()
        )
        self.received = ByteStream(self._loop)
        self.fault: UpstreamFault | None = None

    async def open(self, executor: Executor) -> Result[Answer, UpstreamFault]:
        """Send the call from a thread of `executor`; return the answer's head.

        The bytes then arrive in `received`. At its end `fault` is `None` if
        the answer is complete.
        """
        executor.submit(self._run)
        return await self._opened

    def abort(self) -> bool:
        """Abort the call; return whether it may have reached the upstream."""
        with self._lock:
            self._is_aborted = True
            answer = self._answer
        self.received.close()
        if answer is not None:
            answer.close()
        return self._has_begun

    def _run(self) -> None:
        with self._lock:
            if self._is_aborted:
                return
            self._has_begun = True
        try:
            self._send()
        except Exception as exc:
            # Upstream clients return faults and must not raise; if one does,
            # the attempt ends like one whose answer broke off.
            self.fault = UpstreamFault(UpstreamFaultKind.BROKEN, repr(exc))
            self._set_opened(Err(self.fault))
        self.received.end()

    def _send(self) -> None:
        opened = self._send_call(self._call)
        if isinstance(opened, Err):
            self.fault = opened.err_value
            self._set_opened(opened)
            return
        answer = opened.ok_value
        with self._lock:
            self._answer = answer
            is_aborted = self._is_aborted
        if not is_aborted:
            self._set_opened(Ok(answer))
            self._copy_to_buffer(answer)
        answer.close()

    def _copy_to_buffer(self, answer: Answer) -> None:
        for data in answer:
            if not self.received.write(data):
                return
        self.fault = answer.fault

    def _set_opened(self, opened: Result[Answer, UpstreamFault]) -> None:
        # A closed event loop raises; no task waits for the result then.
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(
                _resolve_future, self._opened, opened
            )


def _resolve_future(
    future: asyncio.Future[Result[Answer, UpstreamFault]],
    opened: Result[Answer, UpstreamFault],
) -> None:
    if not future.done():
        future.set_result(opened)
