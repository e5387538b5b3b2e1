"""Tests of entries whose store comes back from an older copy."""

import asyncio
from pathlib import Path

from bench.giftwrap.deployment import DESK, KEY, make_configuration
from bench.giftwrap.store import PlatformStore, StoreMode

from figspread.direct.state.registry import RELIST_GRACE_S
from tests.giftwrap_fleet import Fleet, run_scenario, wait_until

ENTRIES = 3
# Within this time the system writes again what the store has lost.
REWRITE_S = 2.0


def _tenants(*keys: str) -> list[dict[str, object]]:
    return [{'name': 'studio', 'apiKeys': list(keys)}]


async def _wait_for_version(fleet: Fleet, version: int) -> None:
    await wait_until(
        lambda: all(entry.version == version for entry in fleet.entries)
    )


async def _wait_for_relisting(fleet: Fleet) -> None:
    """Wait until an entry has listed the upstreams of the restored store."""
    await wait_until(
        lambda: any(
            len(log.events('upstreams listed')) > 1 for log in fleet.logs
        )
    )


def test_withdrawn_key_stays_withdrawn_after_store_goes_back(
    tmp_path: Path,
) -> None:
    """Keep the newest configuration when the store has an older one again."""

    async def scenario(fleet: Fleet) -> tuple[set[int], set[int]]:
        configuration = make_configuration(8, tenants=_tenants(KEY, 'key-2'))
        fleet.store.put('config', 'main', configuration)
        await _wait_for_version(fleet, 8)
        earlier = fleet.store.take_copy()
        configuration = make_configuration(9, tenants=_tenants('key-2'))
        fleet.store.put('config', 'main', configuration)
        await _wait_for_version(fleet, 9)
        fleet.store.restore(earlier)
        await _wait_for_relisting(fleet)
        statuses = {
            (await caller.call('status')).status for caller in fleet.callers
        }
        return statuses, {entry.version for entry in fleet.entries}

    result = run_scenario(tmp_path, scenario, entries=ENTRIES)
    assert result == ({401}, {9})


def test_entry_that_starts_after_store_went_back_uses_no_withdrawn_key(
    tmp_path: Path,
) -> None:
    """Learn from peers that a newer configuration is in force."""

    async def scenario(fleet: Fleet) -> int:
        earlier = fleet.store.take_copy()
        configuration = make_configuration(9, tenants=_tenants('key-2'))
        fleet.store.put('config', 'main', configuration)
        await _wait_for_version(fleet, 9)
        fleet.store.restore(earlier)
        caller = await fleet.add_entry()
        await wait_until(lambda: fleet.entries[-1].is_ready)
        return (await caller.call('status')).status

    assert run_scenario(tmp_path, scenario) == 401


def test_changes_after_store_went_back_are_followed(tmp_path: Path) -> None:
    """Follow changes whose revisions are lower than those seen before."""

    async def scenario(fleet: Fleet) -> None:
        earlier = fleet.store.take_copy()
        for number in range(30):
            fleet.store.put('other', 'x', {'number': number})
        fleet.store.put('config', 'main', make_configuration(8))
        await _wait_for_version(fleet, 8)
        fleet.store.restore(earlier)
        # The revision that is watched has been given out again.
        for number in range(40):
            fleet.store.put('other', 'x', {'number': number})
        await fleet.add_upstream('d-9', DESK)
        fleet.store.put('config', 'main', make_configuration(9))
        await _wait_for_version(fleet, 9)
        await wait_until(
            lambda: all(
                any(
                    row['upstream'] == 'd-9'
                    for row in log.events('upstream updated')
                )
                or len(log.events('upstreams listed')) > 1
                for log in fleet.logs
            )
        )

    run_scenario(tmp_path, scenario, entries=ENTRIES)


def test_upstream_that_left_stays_gone_after_store_goes_back(
    tmp_path: Path,
) -> None:
    """Send nothing to an upstream that a restored store lists as ready."""

    async def scenario(fleet: Fleet) -> tuple[set[int], int]:
        earlier = fleet.store.take_copy()
        left = fleet.upstreams['d-1']
        left.state = 'draining'
        fleet.register(left)
        await wait_until(
            lambda: all(log.events('upstream updated') for log in fleet.logs)
        )
        fleet.store.delete('servers', 'd-1')
        await wait_until(
            lambda: all(log.events('upstream removed') for log in fleet.logs)
        )
        arrived = len(left.arrivals_s)
        fleet.store.restore(earlier)
        await _wait_for_relisting(fleet)
        statuses = set()
        for _ in range(8):
            for caller in fleet.callers:
                statuses.add((await caller.call('status')).status)
        return statuses, len(left.arrivals_s) - arrived

    result = run_scenario(tmp_path, scenario, entries=ENTRIES)
    assert result == ({200}, 0)


def test_upstream_that_registered_since_the_copy_stays_in_use(
    tmp_path: Path,
) -> None:
    """Use an upstream whose record is lost while it writes it again."""

    async def scenario(fleet: Fleet) -> set[int]:
        earlier = fleet.store.take_copy()
        await fleet.add_upstream('d-9', DESK)
        await wait_until(
            lambda: all(log.events('upstream updated') for log in fleet.logs)
        )
        for name in ('d-1', 'd-2'):
            await fleet.upstreams[name].stop()
        fleet.store.restore(earlier)
        await _wait_for_relisting(fleet)
        statuses = {
            (await caller.call('status')).status for caller in fleet.callers
        }
        fleet.register(fleet.upstreams['d-9'])
        # A change after it shows that the entries have read it.
        fleet.store.put('config', 'main', make_configuration(8))
        await _wait_for_version(fleet, 8)
        await fleet.add_upstream('d-10', DESK)
        await wait_until(
            lambda: all(
                any(
                    row['upstream'] == 'd-10'
                    for row in log.events('upstream updated')
                )
                for log in fleet.logs
            )
        )
        await fleet.upstreams['d-10'].stop()
        fleet.clock.advance(RELIST_GRACE_S)
        for caller in fleet.callers:
            statuses.add((await caller.call('status')).status)
        return statuses

    assert run_scenario(tmp_path, scenario, entries=ENTRIES) == {200}


def test_entries_register_again_after_store_went_back(tmp_path: Path) -> None:
    """Write the records of all entries again if the store has lost them."""

    async def scenario(fleet: Fleet) -> list[str]:
        empty = PlatformStore().take_copy()
        before = fleet.store.list_names('entries')
        fleet.store.switch_mode(StoreMode.RESETS)
        fleet.store.restore(empty)
        fleet.store.put('config', 'main', make_configuration(7))
        for upstream in fleet.upstreams.values():
            fleet.register(upstream)
        fleet.store.switch_mode(StoreMode.WORKS)
        async with asyncio.timeout(REWRITE_S):
            while fleet.store.list_names('entries') != before:
                await asyncio.sleep(0.01)
        return before

    names = run_scenario(tmp_path, scenario, entries=ENTRIES)
    assert len(names) == ENTRIES


def test_late_answer_of_an_older_era_is_dropped(tmp_path: Path) -> None:
    """Ignore an answer that the store gave before it went back."""

    async def scenario(fleet: Fleet) -> int:
        earlier = fleet.store.take_copy()
        fleet.store.restore(earlier)
        await _wait_for_relisting(fleet)
        listed = len(fleet.logs[0].events('upstreams listed'))
        fleet.store.answered_era = fleet.store.era - 1
        fleet.store.forget_history()
        await wait_until(lambda: fleet.logs[0].events('store connection lost'))
        return len(fleet.logs[0].events('upstreams listed')) - listed

    assert run_scenario(tmp_path, scenario) == 0
