"""Lookup of a caller's workspace by its key, and of a model's engines."""

import random

import pytest
from bench.capacity.fleets import make_fleet, make_key
from bench.capacity.links import HOME, make_link_context
from bench.entry_cases import make_engine_request

from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet, Workspace
from figspread.config.holder import FleetHolder
from figspread.entry.auth import ApiKeyIndex, hash_key
from figspread.entry.directory import Directory
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.ids import WorkspaceId

KEY_COUNT = 540


@pytest.mark.parametrize(
    'header',
    [
        '',
        'Bearer ',
        make_key(1),
        'Basic {0}'.format(make_key(1)),
        'Bearer {0}'.format(hash_key(make_key(1))),
        'Bearer {0}'.format(make_key(KEY_COUNT)),
    ],
)
def test_header_without_known_key_finds_no_workspace(header: str) -> None:
    """A key's digest, which is public in release notes, is no key either."""
    assert (
        ApiKeyIndex().find_workspace(make_fleet(1, KEY_COUNT), header) is None
    )


def test_each_key_finds_its_own_workspace() -> None:
    """Each key of a workspace with several keys finds it too."""
    keys = ApiKeyIndex()
    fleet = make_fleet(1, KEY_COUNT)
    for index, workspace in enumerate(fleet.workspaces.values()):
        header = 'Bearer {0}'.format(make_key(index))
        assert keys.find_workspace(fleet, header) is workspace
    workspace_of_two_keys = Workspace(
        WorkspaceId('two'), (hash_key('a'), hash_key('b'))
    )
    changed_fleet = Fleet(
        workspaces={workspace_of_two_keys.workspace: workspace_of_two_keys}
    )
    assert (
        keys.find_workspace(changed_fleet, 'Bearer a') is workspace_of_two_keys
    )
    assert (
        keys.find_workspace(changed_fleet, 'Bearer b') is workspace_of_two_keys
    )


def test_removed_key_finds_no_workspace() -> None:
    """A stale index must not accept a key that a new configuration removed."""
    keys = ApiKeyIndex()
    header = 'Bearer {0}'.format(make_key(1))
    assert keys.find_workspace(make_fleet(1, 2), header) is not None
    assert keys.find_workspace(make_fleet(1, 1), header) is None


def test_similar_keys_have_unrelated_digests() -> None:
    """Keys that differ in one character share less than half a digest.

    The duration of a lookup depends on the digest, so it would leak a key
    if a caller could choose the digest by choosing a similar key.
    """
    rng = random.Random(1)
    digest = hash_key(make_key(1))
    for _ in range(KEY_COUNT):
        similar_key = '{0}{1}'.format(
            make_key(1)[:-1], chr(rng.randrange(33, 127))
        )
        if similar_key != make_key(1):
            equal_digits = sum(
                digit == other_digit
                for digit, other_digit in zip(
                    digest, hash_key(similar_key), strict=True
                )
            )
            assert equal_digits < len(digest) // 2


def test_engines_of_model_follow_configuration() -> None:
    """The directory must not keep the engine groups of an old configuration."""
    holder = FleetHolder()
    links = Links(LoopThread(), make_link_context(holder), home=HOME)
    directory = Directory(holder, links, ManualClock())
    req = make_engine_request()
    assert not directory.has_upstreams(req)
    for number in (1, 2):
        holder.apply_if_newer(
            dump_fleet(make_fleet(40 * number, 1, number=number))
        )
        for model in holder.fleet.models():
            assert tuple(
                directory._list_engines(holder.fleet, model),
            ) == holder.fleet.engines_for_model(model)
