"""Tests of the settings files and release notes under `examples/`."""

from pathlib import Path

import msgspec
import pytest

from figspread.config.document import dump_fleet
from figspread.config.fleet import EMPTY_FLEET, Fleet
from figspread.config.note import parse_note
from figspread.config.revision import apply_note
from figspread.config.settings import (
    AgentSettings,
    EntrySettings,
    parse_settings,
)

EXAMPLES = Path(__file__).parent.parent / 'examples'
SERIALIZED_LIMIT_BYTES = 1_048_576
LONGEST_PROMPT_TOKENS = 1_000_000
DEPLOYMENTS = ('gift-wrap', 'maison-ndiaye')


def build_fleets(deployment: str) -> list[Fleet]:
    """Return the fleet after each note of the deployment, in order."""
    fleet = EMPTY_FLEET
    fleets = []
    for name in ('first.toml', 'second.toml'):
        raw = (EXAMPLES / deployment / name).read_bytes()
        note = parse_note(raw, file=name).unwrap()
        fleet = apply_note(fleet, note).unwrap()
        fleets.append(fleet)
    return fleets


@pytest.mark.parametrize(
    ('deployment', 'engines', 'services', 'workspaces'),
    [('gift-wrap', 14, 3, 10), ('maison-ndiaye', 23, 3, 10)],
)
def test_notes_apply_and_have_expected_sizes(
    deployment: str,
    engines: int,
    services: int,
    workspaces: int,
) -> None:
    """The first note has the current sizes; the second applies to it."""
    first, second = build_fleets(deployment)
    assert len(first.data_centres) == 3
    assert len(first.engines) == engines
    assert len(first.service_upstreams) == services
    assert len(first.workspaces) == workspaces
    assert second.number == 2
    assert len(dump_fleet(second)) < SERIALIZED_LIMIT_BYTES


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_longest_prompt_fits_in_one_data_centre(deployment: str) -> None:
    """The prompt needs more than two engines but fits in one data centre.

    Twice the KV cache of any engine is too small for it; the engines of one
    pool in one data centre are large enough together.
    """
    fleet = build_fleets(deployment)[0]
    kv_capacity: dict[tuple[str, str], int] = {}
    for engine in fleet.engines.values():
        assert 2 * engine.kv_tokens < LONGEST_PROMPT_TOKENS
        group = (engine.data_centre, engine.pool)
        kv_capacity[group] = kv_capacity.get(group, 0) + engine.kv_tokens
    assert max(kv_capacity.values()) > LONGEST_PROMPT_TOKENS


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
def test_entry_settings_match_the_note(deployment: str) -> None:
    """The note has the data centre of the entry, with the same region."""
    path = EXAMPLES / deployment / 'entry.toml'
    cfg = parse_settings(
        path.read_bytes(),
        EntrySettings,
        file=path.name,
    ).unwrap()
    fleet = build_fleets(deployment)[0]
    assert fleet.data_centres[cfg.data_centre].region == cfg.region


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
@pytest.mark.parametrize('name', ['engine-agent.toml', 'desk-agent.toml'])
def test_agent_settings_match_the_note(
    deployment: str,
    name: str,
) -> None:
    """The note has the agent's upstream, addresses and data centre."""
    path = EXAMPLES / deployment / name
    cfg = parse_settings(
        path.read_bytes(),
        AgentSettings,
        file=path.name,
    ).unwrap()
    fleet = build_fleets(deployment)[0]
    upstreams = {**fleet.engines, **fleet.service_upstreams}
    record = msgspec.to_builtins(upstreams[cfg.upstream])
    assert record['agent'] == '{0}:{1}'.format(cfg.inner.host, cfg.inner.port)
    assert record['url'] == cfg.upstream_url
    assert record['data_centre'] == cfg.data_centre
