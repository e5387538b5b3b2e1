"""Crowds of clients that hold requests back, at one entry of a soak."""

from collections.abc import Iterable
from typing import Final

from bench.faults.crowds import Crowd, Sending
from bench.giftwrap.deployment import HOST, KEY, LIMITS
from bench.soak.faults import PlannedFault, select_entry
from bench.soak.fleet import EntryProcess, Fleet

# Limits of the entries. These descriptors allow 100 connections of callers, which a
# crowd exceeds.
MEMORY_MB: Final = 300
DESCRIPTORS: Final = 500
CROWD_SETTINGS: Final = {
    'limits.memoryMb': str(MEMORY_MB),
    'limits.fileDescriptors': str(DESCRIPTORS),
}
MEMBERS: Final = 120
RETURN_DELAY_S: Final = 0.5
_BYTES_PER_MB: Final = 1_000_000
_HEAD: Final = '\r\n'.join(
    (
        'POST /order/x HTTP/1.1',
        'Host: {0}'.format(HOST),
        'Authorization: Bearer {0}'.format(KEY),
        'X-Figspread-Request-Deadline: 4000',
    )
).encode()


async def crowd_entry(fleet: Fleet, fault: PlannedFault) -> None:
    """Let a crowd hold bodies back, in one of the ways of `Sending`."""
    entry = select_entry(fleet, fault)
    ways = list(Sending)
    crowd = Crowd(
        entry.address,
        _HEAD,
        ways[fault.selector // len(fleet.entries) % len(ways)],
        MEMBERS,
        LIMITS['maxBodyBytes'],
        RETURN_DELAY_S,
    )
    await crowd.hold(fault.duration_s)


def find_process_violations(entries: Iterable[EntryProcess]) -> list[str]:
    """Return a line for each entry that has ended by itself or grown too large."""
    violations = []
    for entry in entries:
        if entry.unasked_exits:
            violations.append(
                '{0} has ended by itself: {1}'.format(
                    entry.name, entry.unasked_exits
                )
            )
        if entry.is_running:
            peak_mb = entry.peak_memory_bytes / _BYTES_PER_MB
            if peak_mb >= MEMORY_MB:
                violations.append(
                    '{0} had {1:.0f} MB'.format(entry.name, peak_mb)
                )
    return violations
