"""Estimates of an engine's prefill and decode times.

Uses the formula that the platform publishes for its engines: prefill time
has a linear and a quadratic term in prompt length, and each pass of an engine
with decoding requests runs a number of decode steps for all of them.
"""

from typing import Final

import msgspec

_TOKENS_PER_K: Final = 1000
_PAIRS_PER_M: Final = 1_000_000
_MS_PER_S: Final = 1000


class EngineProfile(msgspec.Struct, frozen=True):
    """Timing and capacity of an engine, as published by the platform.

    A pass with decoding requests runs `steps_per_pass` decode steps. Each step
    takes `step_ms`, plus `step_ms_per_request` per decoding request and
    `step_ms_per_k_context` per thousand tokens of their contexts. Prefill
    processes `prefill_tokens_per_ms` and takes another
    `prefill_ms_per_m_pairs` per million pairs of tokens. One step prefills at
    most `chunk_tokens`.
    """

    slots: int = 8
    kv_tokens: int = 450_000
    step_ms: float = 1
    step_ms_per_request: float = 0.01
    step_ms_per_k_context: float = 0.0025
    prefill_tokens_per_ms: float = 256
    prefill_ms_per_m_pairs: float = 0.09
    chunk_tokens: int = 2048
    steps_per_pass: int = 46
    mean_prompt_tokens: int = 10_000
    mean_output_tokens: int = 1500


def prefill_time_s(engine: EngineProfile, tokens: int, parts: int = 1) -> float:
    """Return the prefill time in seconds on `parts` otherwise idle engines.

    >>> engine = EngineProfile(prefill_ms_per_m_pairs=0.0917)
    >>> round(prefill_time_s(engine, 210_000), 1)
    2.8
    """
    linear_ms = tokens / engine.prefill_tokens_per_ms
    pairs_ms = (
        tokens * tokens / 2 / _PAIRS_PER_M * engine.prefill_ms_per_m_pairs
    )
    return (linear_ms + pairs_ms) / parts / _MS_PER_S


def decode_pass_time_s(
    engine: EngineProfile, writers: int, context: int
) -> float:
    """Return the duration in seconds of a pass with `writers` requests.

    `context` is the total of their context tokens.
    """
    if not writers:
        return 0
    step_ms = (
        engine.step_ms
        + engine.step_ms_per_request * writers
        + engine.step_ms_per_k_context * context / _TOKENS_PER_K
    )
    return engine.steps_per_pass * step_ms / _MS_PER_S


def decode_time_s(
    engine: EngineProfile, output_tokens: int, writers: int
) -> float:
    """Estimate the time in seconds to decode `output_tokens`.

    `writers` is the number of other requests that decode meanwhile; one is
    added to it for the request itself.
    """
    passes = max(1, output_tokens / engine.steps_per_pass)
    context = engine.mean_prompt_tokens * (writers + 1)
    return passes * decode_pass_time_s(engine, writers + 1, context)
