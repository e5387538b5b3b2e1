"""The prompt prefixes that an entry has seen recently."""

import threading
from collections import OrderedDict
from typing import Final

MAX_PREFIXES: Final = 10_000


class RecentPrefixes:
    """The `MAX_PREFIXES` most recently seen prefixes; thread-safe."""

    def __init__(self) -> None:
        """Start with no prefixes."""
        self._lock = threading.Lock()
        self._prefixes: OrderedDict[str, None] = OrderedDict()

    def add(self, prefix: str) -> bool:
        """Add `prefix` as the most recent; return whether it was known."""
        with self._lock:
            is_known = prefix in self._prefixes
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
            if len(self._prefixes) > MAX_PREFIXES:
                self._prefixes.popitem(last=False)
        return is_known
