"""Bounds how many upstreams a choice compares.

It answers fleets of a thousand engines: comparing all of them takes an entry
longer than a short prompt's prefill, while a random part of them nearly always
has an engine as good as the best.
"""

import random
from collections.abc import Sequence
from typing import Final, TypeVar

# A part of this size has several times the engines that the longest prompt can
# use, and takes an entry on a small VM a few milliseconds to compare.
MAX_CANDIDATES: Final = 128

_Candidate = TypeVar('_Candidate')


def sample_candidates(
    candidates: Sequence[_Candidate], rng: random.Random
) -> Sequence[_Candidate]:
    """Return all candidates, or a random part of `MAX_CANDIDATES` of them.

    >>> len(sample_candidates(range(1000), random.Random(1)))
    128
    """
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    return rng.sample(candidates, MAX_CANDIDATES)
