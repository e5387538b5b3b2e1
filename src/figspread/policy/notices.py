"""What upstreams say of themselves in their answers."""

from typing import Final

import msgspec

from figspread.ids import UpstreamId

# Longest pause that is taken from an answer. It bounds how long one malformed
# value can keep an upstream out of use.
MAX_PAUSE_S: Final = 300.0


class Incarnation(msgspec.Struct, frozen=True):
    """One run of an upstream's process, since an id may start again."""

    upstream: UpstreamId
    started_ms: int = 0


class UpstreamNotice(msgspec.Struct, frozen=True):
    """What an answer says of the upstream that gave it.

    `rate_limit` is how many requests a second it accepts from all entries
    together, `None` for any number; it holds until an answer says otherwise.
    `is_leaving` means that it is about to exit. `pause_s` is for how many
    seconds it wants no requests from this entry.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float = 0
