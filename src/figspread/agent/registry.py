"""The attempts that an agent has taken on and not yet finished."""

import asyncio
from collections.abc import Iterator

from figspread.agent.attempt import Attempt
from figspread.agent.outcomes import StopCause
from figspread.ids import AttemptId


class AttemptRegistry:
    """Open attempts by id."""

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
        """Give the open attempts; they may be removed meanwhile."""
        yield from tuple(self._attempts.values())

    @property
    def body_bytes(self) -> int:
        """What the bodies of all open attempts take together."""
        return self._body_bytes

    def get(self, attempt: AttemptId) -> Attempt | None:
        """Return the open attempt of that id."""
        return self._attempts.get(attempt)

    def add(self, attempt: Attempt) -> None:
        """Note that `attempt` is open."""
        self._attempts[attempt.submit.attempt] = attempt
        self._body_bytes += _body_size(attempt)
        self._is_empty.clear()

    def remove(self, attempt: Attempt) -> None:
        """Note that `attempt` is finished."""
        self._attempts.pop(attempt.submit.attempt)
        self._body_bytes -= _body_size(attempt)
        if not self._attempts:
            self._is_empty.set()

    def begun(self) -> list[Attempt]:
        """Return the attempts that may be on the upstream."""
        return [attempt for attempt in self if attempt.has_begun]

    def stop_begun(self, cause: StopCause) -> list[Attempt]:
        """End all attempts that may be on the upstream, and return them."""
        begun = self.begun()
        for attempt in begun:
            attempt.stop(cause)
        return begun

    def stop_all(self, cause: StopCause) -> None:
        """End all open attempts."""
        for attempt in self:
            attempt.stop(cause)

    async def wait_until_empty(self) -> None:
        """Return when no attempt is open."""
        await self._is_empty.wait()


def _body_size(attempt: Attempt) -> int:
    submit = attempt.submit
    return max(submit.body_size, len(submit.body))
