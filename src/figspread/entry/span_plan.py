"""Splits a prompt that is larger than any one engine over several."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from figspread.config.fleet import EngineRecord
from figspread.ids import DataCentreId, UpstreamId
from figspread.policy.prompts import BYTES_PER_TOKEN

# The share of an engine's KV memory that a segment may use; the rest is left
# to requests of other lengths.
MAX_SEGMENT_SHARE: Final = 0.85
_UTF8_CONTINUATION_MASK: Final = 0xC0
_UTF8_CONTINUATION: Final = 0x80


class SpanPart(msgspec.Struct, frozen=True):
    """One engine's segment of a prompt.

    `kv_tokens` is how many tokens of KV memory it needs on the engine; the
    last segment's includes the answer. `url` is the engine's.
    """

    upstream: UpstreamId
    url: str
    text: str
    kv_tokens: int


def exceeds_every_engine(
    engines: Iterable[EngineRecord],
    kv_tokens: int,
) -> bool:
    """Tell whether no single engine has `kv_tokens` of KV memory."""
    return all(engine.kv_tokens < kv_tokens for engine in engines)


def plan_span(
    engines: Iterable[EngineRecord],
    prompt: bytes,
    output_tokens: int,
    *,
    home: DataCentreId,
) -> Sequence[SpanPart]:
    """Return a segment for each of the fewest engines that hold the prompt.

    All are in one data centre, `home` if it is large enough. Segments are
    in the order of engine ids; all spans reserve in this order, so that no
    two spans wait for each other. The last engine also holds the answer.
    Returns an empty plan if no data centre is large enough.
    """
    by_centre: defaultdict[DataCentreId, list[EngineRecord]] = defaultdict(list)
    for engine in engines:
        by_centre[engine.data_centre].append(engine)
    centres = sorted(by_centre, key=lambda centre: (centre != home, centre))
    for centre in centres:
        selected = _select_engines(by_centre[centre], prompt, output_tokens)
        if selected:
            return _split_prompt(selected, prompt, output_tokens)
    return ()


def _select_engines(
    engines: Sequence[EngineRecord],
    prompt: bytes,
    output_tokens: int,
) -> Sequence[EngineRecord]:
    """Select the largest engines until they hold the prompt and the answer.

    Returns them in the order of their ids, or nothing if all are too small.
    """
    needed = _estimate_tokens(prompt) + output_tokens
    largest_first = sorted(
        engines,
        key=lambda engine: (-engine.kv_tokens, engine.upstream),
    )
    selected: list[EngineRecord] = []
    for engine in largest_first:
        selected.append(engine)
        needed -= _usable_kv_tokens(engine)
        if needed <= 0:
            return sorted(selected, key=lambda record: record.upstream)
    return ()


def _split_prompt(
    engines: Sequence[EngineRecord],
    prompt: bytes,
    output_tokens: int,
) -> Sequence[SpanPart]:
    """Split the prompt in proportion to the engines' usable memory."""
    total_tokens = _estimate_tokens(prompt) + output_tokens
    usable_tokens = sum(_usable_kv_tokens(engine) for engine in engines)
    parts = []
    start = 0
    for engine in engines:
        tokens = -(-total_tokens * _usable_kv_tokens(engine) // usable_tokens)
        end = _find_character_boundary(prompt, start + tokens * BYTES_PER_TOKEN)
        segment = prompt[start:end]
        parts.append(
            SpanPart(
                engine.upstream,
                engine.url,
                segment.decode(),
                _estimate_tokens(segment),
            ),
        )
        start = end
    last = parts[-1]
    last_with_answer = msgspec.structs.replace(
        last,
        kv_tokens=last.kv_tokens + output_tokens,
    )
    return (*parts[:-1], last_with_answer)


def _usable_kv_tokens(engine: EngineRecord) -> int:
    return int(engine.kv_tokens * MAX_SEGMENT_SHARE)


def _estimate_tokens(text: bytes) -> int:
    return -(-len(text) // BYTES_PER_TOKEN)


def _find_character_boundary(prompt: bytes, wanted: int) -> int:
    """Return the last UTF-8 character boundary at or before `wanted`."""
    offset = min(wanted, len(prompt))
    while (
        offset < len(prompt)
        and prompt[offset] & _UTF8_CONTINUATION_MASK == _UTF8_CONTINUATION
    ):
        offset -= 1
    return offset
