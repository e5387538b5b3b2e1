"""Lets the bodies of one connection at a time take many chunks from the parser."""

import asyncio


class ChunkTurns:
    """Turns among all connections that receive bodies in many small chunks.

    Parsing a chunk takes as long for a byte as for a block. A body has its first
    chunks parsed at once, and the further ones by turns, of which one connection
    gets one in each iteration of the event loop. So a crowd that sends such bodies
    takes no more of the processor than a few callers do.
    """

    def __init__(self) -> None:
        """Start with no turn taken."""
        self._lock = asyncio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, in the order of arrival."""
        async with self._lock:
            await asyncio.sleep(0)
