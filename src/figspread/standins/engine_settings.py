"""The settings of a stand-in engine."""

import msgspec


class EngineSettings(msgspec.Struct, frozen=True):
    """An engine's capacity, speed and lags, in times of the engine's clock.

    With a `time_scale` of 10 the engine's clock runs ten times as fast as
    the machine's, so callers see a tenth of its times. Two times
    aren't scaled: `keep_alive_s`, and the retry delay of a KV export or import
    that is refused because the KV memory is full.
    """

    models: tuple[str, ...] = ('figspread-small',)
    prefill_tokens_per_s: float = 20_000
    piece_tokens: int = 2_048
    step_ms: float = 10
    step_per_request_ms: float = 0.5
    kv_limit_tokens: int = 400_000
    max_requests: int = 128
    cache_limit_tokens: int = 200_000
    cache_block_tokens: int = 256
    event_lag_s: float = 1
    event_gap: int = 7
    report_lag_s: float = 0.5
    load_model_s: float = 5
    weight_store: str = ''
    kv_import_tokens_per_s: float = 1_000_000
    checks_fencing: bool = True
    keep_alive_s: float = 0.5
    time_scale: float = 1
