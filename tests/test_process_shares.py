"""What clients can fill leaves room for the rest of a process.

Limits of single requests added up to several times the memory of a process.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.policy.process_shares import (
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    plan_shares,
)

# What the program itself takes before any request.
PROGRAM_BYTES = 60_000_000
# The limit of bodies of the deployments that are served.
BODY_BYTES = 4_194_304


@pytest.mark.parametrize(
    'memory_bytes', [200_000_000, 300_000_000, 552_000_000]
)
def test_shares_and_the_program_fit_in_the_memory(memory_bytes: int) -> None:
    """Every share may be full at the same time, and a body copied meanwhile."""
    shares = plan_shares(memory_bytes, 4100)
    taken_bytes = (
        shares.request_bytes
        + shares.answer_bytes
        + shares.store_bytes
        + shares.callers * CONNECTION_BYTES
        + 3 * BODY_BYTES
    )
    assert taken_bytes + PROGRAM_BYTES <= memory_bytes


@pytest.mark.parametrize('descriptors', [280, 4096, 8192])
def test_callers_leave_descriptors_to_upstreams_and_peers(
    descriptors: int,
) -> None:
    """Each caller may need a connection to an upstream, and others stay idle."""
    shares = plan_shares(10**12, descriptors)
    sockets = 2 * shares.callers + shares.idle_upstreams
    assert sockets <= (descriptors - FILE_DESCRIPTORS) * 0.85


def test_a_body_within_the_limits_fits() -> None:
    """Of a single caller, with the smallest memory that is known."""
    assert plan_shares(200_000_000, 4100).longest_body_bytes >= BODY_BYTES


@given(st.integers(0, 10**12), st.integers(0, 10**6))
def test_every_use_has_a_share(memory_bytes: int, descriptors: int) -> None:
    """Also where the platform states little or nothing."""
    shares = plan_shares(memory_bytes, descriptors)
    assert shares.callers >= 1
    assert 1 <= shares.accepts <= max(1, shares.callers)
