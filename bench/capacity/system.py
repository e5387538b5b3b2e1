"""Processes that run with the default intervals of the settings."""

from collections.abc import Sequence
from pathlib import Path
from typing import Final

from bench.processes import Process, System

ADMITTED_REQUESTS: Final = 240
THREADS: Final = 256
_REPLACEMENTS: Final = (
    ('heartbeat_s = 0.2', 'heartbeat_s = 1'),
    ('silence_s = 1.0', 'silence_s = 4'),
    ('interval_s = 0.2', 'interval_s = 5'),
    ('reconcile_s = 0.2', 'reconcile_s = 5'),
    ('progress_timeout_s = 2', 'progress_timeout_s = 30'),
    ('threads = 32', 'threads = {0}'.format(THREADS)),
    (
        'admitted_requests = 24',
        'admitted_requests = {0}'.format(ADMITTED_REQUESTS),
    ),
)


class DefaultSettingsSystem(System):
    """A system whose processes run with defaults, not the tests' intervals.

    Entries get more threads and admitted requests than in tests.
    """

    def start(
        self, name: str, command: Sequence[str], *, descriptors: int = 0
    ) -> Process:
        """Replace the tests' values in the settings file, then start."""
        if '--settings' in command:
            path = Path(command[command.index('--settings') + 1])
            text = path.read_text()
            for test_line, replacement in _REPLACEMENTS:
                text = text.replace(test_line, replacement)
            path.write_text(text)
        return super().start(name, command, descriptors=descriptors)
