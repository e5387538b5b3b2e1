"""What the operator's pages say agrees with the code."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from figspread.cli.operator import main
from figspread.config.note import parse_note
from figspread.config.rows import SECTIONS, Section
from figspread.telemetry.metrics import Metrics

ROOT = Path(__file__).parent.parent
OPERATIONS = (ROOT / 'docs' / 'OPERATIONS.md').read_text()
GLOSSARY = (ROOT / 'docs' / 'GLOSSARY.md').read_text()
SOURCE = '\n'.join(path.read_text() for path in ROOT.glob('src/**/*.py'))


def test_the_release_note_shown_is_one() -> None:
    """The example has no fault that shows without a fleet."""
    blocks = re.findall('```toml\n(.*?)```', OPERATIONS, re.DOTALL)
    assert blocks
    for block in blocks:
        note = parse_note(block.encode(), file='OPERATIONS.md').unwrap()
        assert not note.faults
        assert note.added and note.changed and note.withdrawn


@pytest.mark.parametrize('section', SECTIONS, ids=lambda one: one.name)
def test_every_field_of_a_section_is_listed(section: Section) -> None:
    """The table of sections names each field of each row."""
    row = next(
        line
        for line in OPERATIONS.splitlines()
        if line.startswith('| `{0}` |'.format(section.name))
    )
    for field in set(section.row.model_fields) - {'id'}:
        assert '`{0}'.format(field) in row


def test_every_metric_is_listed() -> None:
    """The table of metrics names each family that is rendered."""
    metrics = Metrics('entry-1')
    metrics.record_first_token('1k-4k', 0.2)
    metrics.record_token_gap(0.004)
    metrics.record_refusal('overload')
    metrics.record_outcome('answered')
    metrics.record_retry('not_run')
    metrics.add_control_bytes(120)
    text = metrics.render().decode()
    families = re.findall('^# TYPE (figspread_[a-z_]+) ', text, re.MULTILINE)
    assert len(families) == 12
    for family in families:
        assert '`{0}`'.format(family) in OPERATIONS


@pytest.mark.parametrize('name', sorted(main.commands))
def test_every_command_is_listed_and_helps(name: str) -> None:
    """Each command has its row and its help."""
    assert '| `figspread {0}'.format(name) in OPERATIONS
    answer = CliRunner().invoke(main, [name, '--help'])
    assert answer.exit_code == 0


def test_the_glossary_names_what_there_is() -> None:
    """Each class that the glossary names is in the source."""
    names = set(re.findall('`(?:[a-z]+[.])*([A-Z][A-Za-z_]+)', GLOSSARY))
    names.discard('Idempotency')
    missing = [
        name
        for name in names
        if not re.search(
            r'^(class {0}\b|{0}\b.* = )'.format(name), SOURCE, re.M
        )
    ]
    assert not missing
