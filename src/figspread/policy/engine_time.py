"""How long a model engine takes to read a prompt and to write an answer.

The formula is the one that the platform publishes for its engines: reading
grows with the prompt and with the square of it, and each pass of an engine
with writers does a number of steps for all of them.
"""

from typing import Final

import msgspec

_TOKENS_PER_K: Final = 1000
_PAIRS_PER_M: Final = 1_000_000
_MS_PER_S: Final = 1000


class EngineProfile(msgspec.Struct, frozen=True):
    """How long a model engine takes, from the platform's own figures.

    A pass with writers does `stride` steps. A step takes `step_ms`, and
    `writer_ms` and `context_ms_per_k` for each writer and each thousand
    tokens of its context. Reading goes at `read_tokens_per_ms` and takes
    `pairs_ms_per_m` for each million pairs of tokens; one step reads
    `chunk_tokens` at most.
    """

    slots: int = 8
    kv_tokens: int = 450_000
    step_ms: float = 1
    writer_ms: float = 0.01
    context_ms_per_k: float = 0.0025
    read_tokens_per_ms: float = 256
    pairs_ms_per_m: float = 0.09
    chunk_tokens: int = 2048
    stride: int = 46
    mean_prompt_tokens: int = 10_000
    mean_output_tokens: int = 1500


def read_s(engine: EngineProfile, tokens: int, parts: int = 1) -> float:
    """Return how long `tokens` take to read on `parts` engines alone.

    ```
    >>> round(read_s(EngineProfile(pairs_ms_per_m=0.0917), 210_000), 1)
    2.8
    ```
    """
    linear_ms = tokens / engine.read_tokens_per_ms
    pairs_ms = tokens * tokens / 2 / _PAIRS_PER_M * engine.pairs_ms_per_m
    return (linear_ms + pairs_ms) / parts / _MS_PER_S


def pass_s(engine: EngineProfile, writers: int, context: int) -> float:
    """Return how long a pass with `writers` takes, their tokens `context`."""
    if not writers:
        return 0
    step_ms = (
        engine.step_ms
        + engine.writer_ms * writers
        + engine.context_ms_per_k * context / _TOKENS_PER_K
    )
    return engine.stride * step_ms / _MS_PER_S


def write_s(engine: EngineProfile, output_tokens: int, writers: int) -> float:
    """Return about how long `output_tokens` take beside `writers` others."""
    passes = max(1, output_tokens / engine.stride)
    context = engine.mean_prompt_tokens * (writers + 1)
    return passes * pass_s(engine, writers + 1, context)
