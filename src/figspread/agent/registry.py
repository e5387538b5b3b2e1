"""The open attempts of an agent."""

import asyncio
from collections.abc import Iterator

from figspread.agent.attempt import Attempt
from figspread.agent.outcomes import StopCause
from figspread.ids import AttemptId


class AttemptRegistry:
    """Attempts by id, from their admission until their task ends."""

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[AttemptId, Attempt] = {}
        self._is_empty = asyncio.Event()
        self._is_empty.set()
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return how many attempts are open."""
        return len(self._attempts)

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over a snapshot of the open attempts."""
        yield from tuple(self._attempts.values())

    @property
    def body_bytes(self) -> int:
        """The total size of the bodies of all open attempts, in bytes."""
        return self._body_bytes

    def get(self, attempt: AttemptId) -> Attempt | None:
        """Return the open attempt with this id, or `None`."""
        return self._attempts.get(attempt)

    def add(self, attempt: Attempt) -> None:
        """Register an open attempt."""
        self._attempts[attempt.submit.attempt] = attempt
        self._body_bytes += _body_size(attempt)
        self._is_empty.clear()

    def remove(self, attempt: Attempt) -> None:
        """Remove a finished attempt; raises `KeyError` if it isn't open."""
        self._attempts.pop(attempt.submit.attempt)
        self._body_bytes -= _body_size(attempt)
        if not self._attempts:
            self._is_empty.set()

    def list_begun(self) -> list[Attempt]:
        """Return the attempts that were handed to the upstream's client."""
        return [attempt for attempt in self if attempt.has_begun]

    def stop_begun(self, cause: StopCause) -> list[Attempt]:
        """Stop all attempts that have begun, and return them."""
        begun = self.list_begun()
        for attempt in begun:
            attempt.stop(cause)
        return begun

    def stop_all(self, cause: StopCause) -> None:
        """Stop all open attempts."""
        for attempt in self:
            attempt.stop(cause)

    async def wait_until_empty(self) -> None:
        """Wait until no attempt is open."""
        await self._is_empty.wait()


def _body_size(attempt: Attempt) -> int:
    submit = attempt.submit
    return max(submit.body_size, len(submit.body))
