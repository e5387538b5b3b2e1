"""The KV memory of a stand-in engine, counted in tokens."""

from collections.abc import Sequence

from figspread.upstream.types import KvHolding


def name_handle(attempt: str) -> str:
    """Return the handle under which the request's KV cache is exported.

    It follows from the attempt, so who lost the answer can still free it.
    """
    return 'kv-{0}'.format(attempt)


class KvMemory:
    """Who holds how many tokens; never more than `limit_tokens` in all."""

    def __init__(self, limit_tokens: int) -> None:
        """Start empty."""
        self.limit_tokens = limit_tokens
        self._holdings: dict[str, KvHolding] = {}

    @property
    def used_tokens(self) -> int:
        """The tokens held in all."""
        return sum(held.kv_tokens for held in self._holdings.values())

    def take(self, name: str, tokens: int, *, is_handle: bool = False) -> bool:
        """Hold `tokens` under `name` if they fit; tell whether they did."""
        if name in self._holdings:
            return False
        if self.used_tokens + tokens > self.limit_tokens:
            return False
        self._holdings[name] = KvHolding(name, tokens, is_handle)
        return True

    def free(self, name: str) -> bool:
        """Free what `name` holds; tell whether it held anything."""
        return self._holdings.pop(name, None) is not None

    def keep_as_handle(self, attempt: str) -> None:
        """Turn what the request `attempt` holds into a KV handle."""
        held = self._holdings.pop(attempt)
        handle = name_handle(attempt)
        self._holdings[handle] = KvHolding(
            handle, held.kv_tokens, is_handle=True
        )

    def find(self, name: str) -> KvHolding | None:
        """Return what `name` holds."""
        return self._holdings.get(name)

    def holdings(self) -> Sequence[KvHolding]:
        """List all that is held."""
        return tuple(self._holdings.values())
