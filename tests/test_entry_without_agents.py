"""An entry without connections to agents still gets new configurations."""

import hashlib
from pathlib import Path

import msgspec
from bench.processes import KEY, System

from figspread.duties.distribution import is_watcher
from figspread.ids import DataCentreId, PeerId, VmId
from figspread.platform.types import Vm, VmState
from figspread.platform.vms import VmListing

HOME = DataCentreId('mu-a')
NAMES = ['entry-{0}'.format(number) for number in range(4)]
SECOND_NOTE = """
[note]
id = "second"
against = 1
[[added.pools]]
id = "reviews"
models = ["review-70b"]
"""


def encode_vm_list() -> bytes:
    """Return the body of a VM list in which all entries are live."""
    vms = tuple(
        Vm(VmId(name), VmState.LIVE, HOME, '', 'entry') for name in NAMES
    )
    return msgspec.json.encode(VmListing(vms))


def find_entry_without_watch() -> str:
    """Return the first entry that is not one of its data centre's watchers.

    Only watchers watch the store; others learn of changes from their agents.
    """
    peers = [PeerId(name) for name in NAMES]
    return next(name for name in NAMES if not is_watcher(PeerId(name), peers))


def test_an_entry_without_agents_reads_the_store(tmp_path: Path) -> None:
    """An entry that is no watcher reads the store if it has no agents.

    Otherwise it would never learn of a new configuration, as no agent can
    tell it.
    """
    with System(tmp_path) as system:
        url = 'http://127.0.0.1:{0}/vms'.format(system.vms.port)
        system.http.request('PUT', url, body=encode_vm_list())
        system.apply_release_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry(find_entry_without_watch())
        system.wait_until(
            lambda: (
                system.read_status(entry)['config_number'] == 1
                and not system.read_status(entry)['is_watcher']
            ),
        )
        note = tmp_path / 'second.toml'
        note.write_text(SECOND_NOTE)
        system.run_operator('release', 'apply', str(note))
        system.wait_until(
            lambda: system.read_status(entry)['config_number'] == 2,
        )
