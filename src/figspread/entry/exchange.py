"""The event queue between the event loop and a caller's thread."""

import queue
from typing import TypeAlias

import msgspec

from figspread.ids import AttemptId
from figspread.inner.messages import Accepted, Chunk, Finished, Head


class ConnectionLost(msgspec.Struct, frozen=True):
    """The connection to the agent was lost or could not be used.

    `was_sent` tells whether any byte of the attempt may have been sent.
    `boot` identifies the agent process that was connected, if any.
    """

    was_sent: bool
    detail: str = ''
    boot: str = ''


AttemptEvent: TypeAlias = Accepted | Head | Chunk | Finished | ConnectionLost


class Exchange:
    """Passes an attempt's events from the event loop to one thread.

    `Finished` or `ConnectionLost` is the last event.
    """

    def __init__(self, attempt: AttemptId) -> None:
        """Start an empty queue for `attempt`."""
        self.attempt = attempt
        self._events: queue.SimpleQueue[AttemptEvent] = queue.SimpleQueue()

    def put_event(self, event: AttemptEvent) -> None:
        """Add an event without blocking; called on the event loop."""
        self._events.put(event)

    def wait_for_end(self, timeout_s: float) -> AttemptEvent | None:
        """Drop events up to the last one and return that.

        Returns `None` if the agent sends nothing for `timeout_s`.
        """
        while True:
            event = self.wait_for_event(timeout_s)
            if event is None or isinstance(event, Finished | ConnectionLost):
                return event

    def wait_for_event(self, timeout_s: float) -> AttemptEvent | None:
        """Return the next event, or `None` after `timeout_s`."""
        try:
            return self._events.get(timeout=timeout_s)
        except queue.Empty:
            return None
