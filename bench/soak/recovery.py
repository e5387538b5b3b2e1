"""Checks that a fleet has recovered after all faults have been undone."""

import asyncio
from typing import Final

from bench.soak.calls import CallPlan, CallSender
from bench.soak.fleet import Fleet

# Wait between the readiness of all entries and the check of recovery, long
# enough for memory reservations that nobody renews to expire.
RECOVERY_WAIT_S: Final = 5.0


async def find_recovery_violations(
    fleet: Fleet, sender: CallSender
) -> list[str]:
    """Return a line for each violation after all faults have been undone.

    Upstreams must have released all work and memory, and each entry must
    serve each kind of route, and the newest configuration's own route.
    """
    for name in fleet.upstreams:
        await fleet.restart_upstream(name)
    for entry in fleet.entries:
        entry.start()
        await entry.wait_until_ready()
    await asyncio.sleep(RECOVERY_WAIT_S)
    violations = []
    for name, upstream in fleet.upstreams.items():
        if upstream.running_ids:
            violations.append(
                '{0} runs requests that no caller waits for'.format(name)
            )
        if upstream.list_active_reservations():
            violations.append(
                '{0} holds reservations that no caller needs'.format(name)
            )
    newest_route = 'v{0}'.format(fleet.config_version)
    for number, _ in enumerate(fleet.entries):
        for route in ('caption', 'order', 'status', newest_route):
            request = 'end-{0}-{1}'.format(number, route)
            call = await sender.send(CallPlan(request, route, number))
            if call.answer is None or call.answer.status != 200:
                violations.append(
                    'request failed after faults ended: {0}'.format(call)
                )
    return violations
