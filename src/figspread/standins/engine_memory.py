"""The KV cache memory of a stand-in engine, counted in tokens."""

from collections.abc import Sequence

from figspread.upstream.types import KvHolding


def make_handle(attempt: str) -> str:
    """Return the handle under which the attempt's KV cache is exported.

    It is derived from the attempt id, so that a client that lost the response
    to an export can still release the memory.
    """
    return 'kv-{0}'.format(attempt)


class KvMemory:
    """Reservations of KV memory by name, `limit_tokens` in total at most.

    A name is the id of an attempt or a handle.
    """

    def __init__(self, limit_tokens: int) -> None:
        """Start empty."""
        self.limit_tokens = limit_tokens
        self._holdings: dict[str, KvHolding] = {}

    @property
    def used_tokens(self) -> int:
        """The tokens reserved in total."""
        return sum(holding.kv_tokens for holding in self._holdings.values())

    def reserve(
        self, name: str, tokens: int, *, is_handle: bool = False
    ) -> bool:
        """Reserve `tokens` for `name`; return whether they fit.

        A name that has a reservation already gets no other.
        """
        if name in self._holdings:
            return False
        if self.used_tokens + tokens > self.limit_tokens:
            return False
        self._holdings[name] = KvHolding(name, tokens, is_handle)
        return True

    def release(self, name: str) -> bool:
        """Release the reservation of `name`; return whether it had one."""
        return self._holdings.pop(name, None) is not None

    def convert_to_handle(self, attempt: str) -> None:
        """Transfer the reservation of `attempt` to its handle."""
        holding = self._holdings.pop(attempt)
        handle = make_handle(attempt)
        self._holdings[handle] = KvHolding(
            handle, holding.kv_tokens, is_handle=True
        )

    def find(self, name: str) -> KvHolding | None:
        """Return the reservation of `name`, if any."""
        return self._holdings.get(name)

    def list_reservations(self) -> Sequence[KvHolding]:
        """Return all reservations."""
        return tuple(self._holdings.values())
