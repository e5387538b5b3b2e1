"""Limits how often an entry asks agents for a newer configuration."""

from typing import Final

from result import Ok

from figspread.config.holder import FleetHolder
from figspread.inner.messages import ConfigCopy

# How long one request for a copy may stay unanswered before another is sent.
FETCH_TIMEOUT_S: Final = 1.0
_NEVER: Final = float('-inf')


class ConfigFetch:
    """Lets the links of an entry request a new configuration only once.

    Hundreds of agents announce a new configuration at about the same time,
    and a copy of it is large. If a copy doesn't arrive within
    `FETCH_TIMEOUT_S`, the next agent that announces it is asked.
    """

    def __init__(self) -> None:
        """Start with no request in flight."""
        self._requested_at = _NEVER

    def try_start(self, now: float) -> bool:
        """Record a request at `now` unless one is in flight.

        Returns whether it was recorded; the link must then send it.
        """
        if now - self._requested_at < FETCH_TIMEOUT_S:
            return False
        self._requested_at = now
        return True

    def apply_copy(self, copy: ConfigCopy, holder: FleetHolder) -> None:
        """Offer `copy` to `holder`; a valid one ends the request in flight.

        An invalid copy doesn't, so that it isn't requested again at once.
        """
        if isinstance(holder.apply_if_newer(copy.document), Ok):
            self._requested_at = _NEVER
