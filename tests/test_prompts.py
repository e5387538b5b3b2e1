"""Token estimates, length classes and digests of requests."""

import pytest

from figspread.ids import ModelName, WorkspaceId
from figspread.policy.prompts import (
    digest_prefix,
    estimate_tokens,
    lane_index,
    length_class,
    make_fingerprint,
)
from figspread.policy.types import LengthClass


@pytest.mark.parametrize(
    ('tokens', 'kind'),
    [
        (0, LengthClass.SHORT),
        (3_999, LengthClass.SHORT),
        (4_000, LengthClass.MEDIUM),
        (32_000, LengthClass.LONG),
        (128_000, LengthClass.HUGE),
        (2_000_000, LengthClass.HUGE),
    ],
)
def test_length_class_and_lane_by_tokens(
    tokens: int, kind: LengthClass
) -> None:
    """A length equal to a bound belongs to the longer class."""
    assert length_class(tokens) is kind
    assert list(LengthClass)[lane_index(tokens)] is kind


def test_token_estimate_rounds_up() -> None:
    """A partial token counts as a whole one."""
    sizes = (0, 1, 4, 5)
    assert [estimate_tokens(b'x' * size) for size in sizes] == [0, 1, 1, 2]


def test_prompts_with_same_beginning_share_prefix_digest() -> None:
    """Only the first 1,024 bytes, or 256 estimated tokens, count."""
    prompts = [bytes(4096), bytes(4097), bytes(9000)]
    assert len({digest_prefix(prompt) for prompt in prompts}) == 1
    assert digest_prefix(b'a') != digest_prefix(b'b')


def test_each_field_changes_fingerprint() -> None:
    """Bytes that move between fields change the fingerprint.

    Hashing the plain concatenation would make such requests look like the
    same one.
    """
    cases = [
        ('studio', 'm', b'p', b'q'),
        ('desk', 'm', b'p', b'q'),
        ('studio', 'n', b'p', b'q'),
        ('studio', 'm', b'pq', b''),
        ('studio', 'm', b'', b'pq'),
        ('studiom', '', b'p', b'q'),
    ]
    fingerprints = {
        make_fingerprint(
            workspace=WorkspaceId(workspace),
            model=ModelName(model),
            settings=request_settings,
            prompt=prompt,
        )
        for workspace, model, request_settings, prompt in cases
    }
    assert len(fingerprints) == len(cases)
