"""Types that placement decides by: the load of upstreams, and requirements."""

import msgspec

from figspread.ids import DataCentreId, UpstreamId


class RunningRequest(msgspec.Struct, frozen=True):
    """A request at an upstream, as far as other requests may delay it.

    `target_gap_s` is the longest allowed gap between its events in seconds,
    `tokens` the length of its prompt and output.
    """

    target_gap_s: float
    tokens: int


class UpstreamLoad(msgspec.Struct, frozen=True):
    """An upstream that could take a request, with its current load.

    `decoding_requests` is the number of decoding requests, `prefill_backlog_s`
    the time until its pending prefill is done, and `target_gap_s` the tightest
    gap limit of its requests, which `running` lists. `slowdown` is the slowdown
    factor, above 1 for a slow engine, and `confirmed_slowdown` the part of it
    that other work can't explain. `failures` counts consecutive failures;
    `failure_rate` is the failure rate, from 0 to 1. An upstream that `is_cold`
    takes few requests. `has_connection` tells whether this entry has an idle
    connection to it, and `has_unknown_load` whether it may run requests that no
    entry knows of.
    """

    upstream: UpstreamId
    data_centre: DataCentreId
    slots: int
    requests: int = 0
    decoding_requests: int = 0
    prefill_backlog_s: float = 0
    target_gap_s: float = float('inf')
    running: tuple[RunningRequest, ...] = ()
    kv_tokens: int = 0
    slowdown: float = 1
    confirmed_slowdown: float = 1
    failures: int = 0
    failure_rate: float = 0
    is_cold: bool = False
    has_connection: bool = False
    has_unknown_load: bool = False


class PlacementRequirements(msgspec.Struct, frozen=True):
    """The requirements of a request, in tokens and seconds.

    `target_latency_s` is the target for the first token and `target_gap_s` the
    longest allowed gap between events. A first token after `time_left_s` is
    useless. `home` is the data centre to prefer.
    """

    prompt_tokens: int
    output_tokens: int
    target_latency_s: float
    target_gap_s: float
    home: DataCentreId
    time_left_s: float = float('inf')

    @property
    def kv_tokens(self) -> int:
        """KV memory needed for prompt and output."""
        return self.prompt_tokens + self.output_tokens


class PlacementChoice(msgspec.Struct, frozen=True):
    """The chosen upstream, its helpers and the expected first token.

    `helper_kv_tokens` are the KV tokens that each helper stores, in the order
    of `helpers`; the first engine stores the rest. `engine_prefill_s` is the
    prefill time of each engine.
    """

    upstream: UpstreamId
    first_token_s: float = 0
    helpers: tuple[UpstreamId, ...] = ()
    helper_kv_tokens: tuple[int, ...] = ()
    engine_prefill_s: float = 0
