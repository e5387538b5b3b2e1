"""The configuration that a process currently uses."""

import threading
from collections.abc import Callable
from typing import TypeAlias

from result import Err, Ok, Result

from figspread.config.document import load_fleet
from figspread.config.fleet import EMPTY_FLEET, Fleet

Listener: TypeAlias = Callable[[Fleet], None]


class FleetHolder:
    """Holds the newest configuration that this process has received.

    Its number only ever increases. Reads need no lock because an update
    replaces `fleet` as a whole.
    """

    def __init__(self) -> None:
        """Start with the empty configuration, which has number 0."""
        self._lock = threading.Lock()
        # Held while listeners are called, so that they get configurations in
        # order. A listener may apply a newer one itself.
        self._notify_lock = threading.RLock()
        self._notified_number = 0
        self._fleet = EMPTY_FLEET
        self._document = b''
        self._listeners: list[Listener] = []

    @property
    def fleet(self) -> Fleet:
        """The configuration that this process currently uses."""
        return self._fleet

    @property
    def document(self) -> bytes:
        """The serialized configuration, for sending it to peers."""
        return self._document

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` after each update with the new configuration.

        Its numbers only ever increase; one that is replaced before it has
        reached the listener is left out.
        """
        with self._lock:
            self._listeners.append(listener)

    def apply_if_newer(self, document: bytes) -> Result[bool, str]:
        """Apply `document` if its number is higher than the current one.

        Return whether it was applied, or why it cannot be decoded.
        """
        match load_fleet(document):
            case Ok(fleet):
                return Ok(self._replace_if_newer(fleet, document))
            case Err(problem):
                return Err(problem)

    def _replace_if_newer(self, fleet: Fleet, document: bytes) -> bool:
        with self._lock:
            if fleet.number <= self._fleet.number:
                return False
            self._document = document
            self._fleet = fleet
            listeners = tuple(self._listeners)
        with self._notify_lock:
            for listener in listeners:
                if fleet.number < self._notified_number:
                    break
                self._notified_number = fleet.number
                listener(fleet)
        return True
