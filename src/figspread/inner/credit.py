"""Flow control of one stream by credit, counted in bytes.

Many streams share a connection. Credit keeps a slow reader from blocking the
streams of others.
"""

import asyncio
from typing import Final

from figspread.inner.messages import INITIAL_CREDIT_BYTES

# Upper bound of a sender's credit, whatever a faulty peer grants.
CREDIT_LIMIT_BYTES: Final = 16 * INITIAL_CREDIT_BYTES
# Number of bytes that a receiver reads before it sends a `Credit` message.
_GRANT_THRESHOLD_BYTES: Final = INITIAL_CREDIT_BYTES // 4
# Level to which the sender's credit is sure to return once all sent bytes have
# been read. The rest may stay uncredited, because the receiver returns credit
# only in batches of `_GRANT_THRESHOLD_BYTES` or more.
_GUARANTEED_CREDIT_BYTES: Final = INITIAL_CREDIT_BYTES - _GRANT_THRESHOLD_BYTES


class SendWindow:
    """The credit of a stream's sender, in bytes.

    Only one task may call `acquire`. A chunk larger than the credit that the
    receiver is certain to return is sent once that much is available, since
    it would otherwise wait for ever.
    """

    def __init__(self) -> None:
        """Start with `INITIAL_CREDIT_BYTES`."""
        self._available_bytes = INITIAL_CREDIT_BYTES
        self._is_limited = True
        self._credit_added = asyncio.Event()

    async def acquire(self, size: int) -> None:
        """Wait until `size` bytes may be sent, and deduct them."""
        while self._is_limited and self._available_bytes < min(
            size, _GUARANTEED_CREDIT_BYTES
        ):
            self._credit_added.clear()
            await self._credit_added.wait()
        self._available_bytes -= size

    def grant(self, size: int) -> None:
        """Add `size` bytes of credit from the receiver, up to the limit.

        Sizes of zero or less are ignored.
        """
        if size > 0:
            self._available_bytes = min(
                self._available_bytes + size, CREDIT_LIMIT_BYTES
            )
            self._credit_added.set()

    def disable_limit(self) -> None:
        """Stop limiting the sender, when the stream has no reader any more."""
        self._is_limited = False
        self._credit_added.set()


class ReceiveWindow:
    """The bytes that a stream's receiver has read but not yet credited.

    Credit is returned in batches of at least `_GRANT_THRESHOLD_BYTES`, since
    each return costs a message.
    """

    def __init__(self) -> None:
        """Start with nothing to credit."""
        self._ungranted_bytes = 0

    def consume(self, size: int) -> int:
        """Record `size` read bytes; return the credit to send now, or 0."""
        self._ungranted_bytes += size
        if self._ungranted_bytes < _GRANT_THRESHOLD_BYTES:
            return 0
        granted = self._ungranted_bytes
        self._ungranted_bytes = 0
        return granted
