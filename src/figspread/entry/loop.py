"""An asyncio event loop on a thread of its own."""

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from typing import Any, Final, TypeVar

_Returned = TypeVar('_Returned')

# Bounds the wait for the tasks and then for the thread to end.
STOP_TIMEOUT_S: Final = 5


class LoopThread:
    """Runs an event loop for other threads, which must not block each other."""

    def __init__(self) -> None:
        """Create the loop; nothing runs before `start`."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            name='inner-loop',
            daemon=True,
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def call_soon(self, callback: Callable[..., object], *args: object) -> None:
        """Schedule `callback` on the loop; a closed loop ignores it."""
        if self._loop.is_closed():
            return
        self._loop.call_soon_threadsafe(callback, *args)

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, _Returned],
    ) -> Future[_Returned]:
        """Schedule `coroutine` on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def stop(self) -> None:
        """Cancel all tasks, then end the loop and its thread."""
        self.spawn(_cancel_all()).result(STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)
        self._loop.close()


async def _cancel_all() -> None:
    own = asyncio.current_task()
    tasks = [task for task in asyncio.all_tasks() if task is not own]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
