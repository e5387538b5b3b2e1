"""Measured costs by size, fitted by straight lines."""

import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

import msgspec
import numpy as np

REPEATS: Final = 5
PAGE_BYTES: Final = 4096
TICKS_PER_S: Final = 100
US_PER_S: Final = 1_000_000


class CostSeries(msgspec.Struct, frozen=True):
    """A cost in `unit` measured at `sizes`, and the size at the target."""

    name: str
    unit: str
    sizes: Sequence[float]
    costs: Sequence[float]
    target: float

    def fit(self) -> tuple[float, float]:
        """Return the slope and intercept of a least-squares line."""
        slope, intercept = np.polyfit(self.sizes, self.costs, 1)
        return float(slope), float(intercept)

    def estimate_at_target(self) -> float:
        """Return the cost that the fitted line gives at the target's size."""
        slope, intercept = self.fit()
        return slope * self.target + intercept


def measure_cpu_us(call: Callable[[], object], *, times: int) -> float:
    """Return the CPU time of one `call` in microseconds.

    It is the mean over `times` calls, from the fastest of `REPEATS` rounds.
    """
    shortest_s = float('inf')
    for _ in range(REPEATS):
        started = time.process_time()
        for _ in range(times):
            call()
        shortest_s = min(shortest_s, time.process_time() - started)
    return shortest_s / times * US_PER_S


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    fields = Path('/proc/{0}/stat'.format(pid)).read_text().rpartition(')')[2]
    user, kernel = fields.split()[11:13]
    return (int(user) + int(kernel)) / TICKS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = Path('/proc/{0}/statm'.format(pid)).read_text()
    return int(statm.split()[1]) * PAGE_BYTES
