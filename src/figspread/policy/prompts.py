"""Size, class and identity of a request, derived from its prompt."""

from typing import Final

import xxhash

from figspread.ids import Fingerprint, ModelName, WorkspaceId
from figspread.policy.types import LengthClass

BYTES_PER_TOKEN: Final = 4
# Length of the shared beginning by which prompts are routed to the same engine.
PREFIX_TOKENS: Final = 256

# Exclusive upper bounds; longer prompts are `HUGE`.
_UPPER_BOUNDS_TOKENS: Final = (
    (LengthClass.SHORT, 4_000),
    (LengthClass.MEDIUM, 32_000),
    (LengthClass.LONG, 128_000),
)


def estimate_tokens(prompt: bytes) -> int:
    """Estimate the number of tokens in `prompt`, rounded up."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def length_class(tokens: int) -> LengthClass:
    """Return the length class of a prompt of `tokens` tokens."""
    for kind, upper_bound in _UPPER_BOUNDS_TOKENS:
        if tokens < upper_bound:
            return kind
    return LengthClass.HUGE


def lane_index(tokens: int) -> int:
    """Return the index of the prompt's lane; the shortest class is 0."""
    return tuple(LengthClass).index(length_class(tokens))


def engine_priority(tokens: int, priority: int = 0) -> int:
    """Return the priority to send to an engine, which serves higher ones first.

    The request's own priority counts first; among equal ones, shorter prompts
    get a higher value.
    """
    classes = len(LengthClass)
    return priority * classes + classes - 1 - lane_index(tokens)


def digest_prefix(prompt: bytes) -> str:
    """Return a digest of the first `PREFIX_TOKENS` tokens of `prompt`.

    Tokens are taken as `BYTES_PER_TOKEN` bytes each.
    """
    prefix = prompt[: PREFIX_TOKENS * BYTES_PER_TOKEN]
    return xxhash.xxh3_64_hexdigest(prefix)


def make_fingerprint(
    *,
    workspace: WorkspaceId,
    model: ModelName,
    settings: bytes,
    prompt: bytes,
) -> Fingerprint:
    """Return a digest that identifies a request and its resends.

    Each field is hashed with its length, so that moving bytes from one field
    to the next changes the fingerprint.
    """
    digest = xxhash.xxh3_128()
    for field in (workspace.encode(), model.encode(), settings, prompt):
        digest.update(len(field).to_bytes(8, 'big'))
        digest.update(field)
    return Fingerprint(digest.hexdigest())
