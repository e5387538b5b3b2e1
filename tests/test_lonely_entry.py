"""An entry that no agent talks to still hears of a new configuration."""

import hashlib
from pathlib import Path

import msgspec
from bench.processes import KEY, System

from figspread.duties.distribution import is_watcher
from figspread.ids import DataCentreId, PeerId, VmId
from figspread.platform.types import Vm, VmState
from figspread.platform.vms import VmListing

HOME = DataCentreId('mu-a')
NAMES = ['entry-{0}'.format(one) for one in range(4)]
NEXT_NOTE = """
[note]
id = "second"
against = 1
[[added.pools]]
id = "reviews"
models = ["review-70b"]
"""


def list_vms() -> bytes:
    """Return a VM list with all entries live."""
    vms = tuple(
        Vm(VmId(name), VmState.LIVE, HOME, '', 'entry') for name in NAMES
    )
    return msgspec.json.encode(VmListing(vms))


def find_lonely() -> str:
    """Return an entry that the others leave to hear from agents."""
    peers = [PeerId(name) for name in NAMES]
    return next(name for name in NAMES if not is_watcher(PeerId(name), peers))


def test_an_entry_without_agents_reads_the_store(tmp_path: Path) -> None:
    """It is no watcher, and there is no agent that could tell it."""
    with System(tmp_path) as system:
        url = 'http://127.0.0.1:{0}/vms'.format(system.vms.port)
        system.http.request('PUT', url, body=list_vms())
        system.apply_note(hashlib.sha256(KEY.encode()).hexdigest())
        entry = system.start_entry(find_lonely())
        system.wait_until(
            lambda: (
                system.read_status(entry)['config_number'] == 1
                and not system.read_status(entry)['is_watcher']
            ),
        )
        note = tmp_path / 'second.toml'
        note.write_text(NEXT_NOTE)
        system.run_operator('release', 'apply', str(note))
        system.wait_until(
            lambda: system.read_status(entry)['config_number'] == 2,
        )
