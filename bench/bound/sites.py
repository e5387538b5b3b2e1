"""The deployments of the users' sheets, with the load of their heavy days."""

from typing import Final

from bench.bound.load import PromptKind, Site
from figspread.policy.engine_time import EngineProfile

# Factors of the arrival rates in successive bursts of the users' heavy days.
_SHORT_BURSTS: Final = (2.5, 0.36)
_REVIEW_BURSTS: Final = (0.5, 1.3)
_LONG_BURSTS: Final = (0.05, 2.8)


def _make_profile(
    slots: int,
    kv_tokens: int,
    steps_per_pass: int,
    *,
    is_fast: bool = True,
) -> EngineProfile:
    """Return the published figures of one of the users' two engine types."""
    return EngineProfile(
        slots=slots,
        kv_tokens=kv_tokens,
        step_ms=0.925 if is_fast else 0.85,
        step_ms_per_request=0.00483 if is_fast else 0.00425,
        step_ms_per_k_context=0.00254 if is_fast else 0.00285,
        prefill_tokens_per_ms=256 if is_fast else 177,
        prefill_ms_per_m_pairs=0.0917 if is_fast else 0.184,
        chunk_tokens=2048,
        steps_per_pass=steps_per_pass,
    )


def _make_caption(
    rate_per_s: float, events: float, **other: float
) -> PromptKind:
    targets = {
        'target_latency_s': 0.3,
        'target_gap_s': 0.2,
        'deadline_s': 10,
        'worth': 1.3,
        'late_worth': 0.33,
        **other,
    }
    return PromptKind(
        'caption',
        rate_per_s,
        prompt_tokens=4960,
        size_variation=0.9,
        events=events,
        burst_factors=_SHORT_BURSTS,
        **targets,
    )


def _make_review(
    rate_per_s: float, events: float, **other: float
) -> PromptKind:
    targets = {
        'target_latency_s': 1.5,
        'target_gap_s': 0.5,
        'deadline_s': 10,
        'worth': 3.1,
        'late_worth': 0.79,
        **other,
    }
    return PromptKind(
        'review',
        rate_per_s,
        prompt_tokens=45_000,
        size_variation=0.5,
        events=events,
        burst_factors=_REVIEW_BURSTS,
        **targets,
    )


def _make_audit(
    rate_per_s: float, prompt_tokens: int, events: float, **other: float
) -> PromptKind:
    targets = {
        'target_latency_s': 3,
        'target_gap_s': 0.8,
        'deadline_s': 15,
        'worth': 22,
        'late_worth': 5.4,
        **other,
    }
    return PromptKind(
        'audit',
        rate_per_s,
        prompt_tokens=prompt_tokens,
        size_variation=0.55,
        events=events,
        burst_factors=_LONG_BURSTS,
        **targets,
    )


_LARGER_AIMS: Final = {'target_latency_s': 4, 'worth': 30, 'late_worth': 7.5}
_SITES: Final = (
    Site(
        'wrap-floor',
        3,
        14,
        _make_profile(8, 450_000, 46),
        (
            _make_caption(15.4, 35),
            _make_review(1.12, 21),
            _make_audit(0.462, 210_000, 17),
        ),
    ),
    Site(
        'ndv-figspread',
        6,
        23,
        _make_profile(8, 450_000, 46),
        (
            _make_caption(25.3, 35),
            _make_review(1.83, 21),
            _make_audit(0.761, 210_000, 17),
        ),
    ),
    Site(
        'wrap-floor-grown',
        26,
        45,
        _make_profile(6, 382_500, 52),
        (
            _make_caption(38.4, 33, worth=1.4, late_worth=0.34),
            _make_review(3.52, 20, worth=2.6, late_worth=0.66),
            _make_audit(1.04, 300_000, 16, **_LARGER_AIMS),
        ),
    ),
    Site(
        'ndv-figspread-grown',
        31,
        78,
        _make_profile(6, 382_500, 52),
        (
            _make_caption(66.5, 33, worth=1.4, late_worth=0.34),
            _make_review(6.1, 20, worth=2.6, late_worth=0.66),
            _make_audit(1.8, 300_000, 16, **_LARGER_AIMS),
        ),
    ),
    Site(
        'clydeside',
        4,
        16,
        _make_profile(8, 315_000, 51, is_fast=False),
        (
            _make_caption(16.4, 33, target_gap_s=0.25),
            _make_review(0.83, 20, target_gap_s=0.6, worth=4.2, late_worth=1),
            _make_audit(
                0.5, 154_000, 16, target_gap_s=1, worth=21, late_worth=5.2
            ),
        ),
    ),
    Site(
        'clydeside-grown',
        28,
        54,
        _make_profile(6, 267_750, 57, is_fast=False),
        (
            _make_caption(43.5, 32, target_gap_s=0.25),
            _make_review(
                2.76, 19, target_gap_s=0.6, worth=3.5, late_worth=0.88
            ),
            _make_audit(
                1.18,
                220_000,
                16,
                target_latency_s=4,
                target_gap_s=1,
                worth=29,
                late_worth=7.4,
            ),
        ),
    ),
    Site(
        'wrap-floor-large',
        68,
        112,
        _make_profile(5, 450_000, 73),
        (
            _make_caption(
                81, 24, target_gap_s=0.25, worth=1.4, late_worth=0.34
            ),
            _make_review(
                8.65, 15, target_gap_s=0.6, worth=2.3, late_worth=0.58
            ),
            _make_audit(
                1.99,
                300_000,
                12,
                target_latency_s=4,
                target_gap_s=1,
                worth=26,
                late_worth=6.6,
            ),
        ),
    ),
)
SITES: Final = {site.name: site for site in _SITES}
