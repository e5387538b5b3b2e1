"""Reads the platform's VM list: live entries and VMs that are leaving."""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec
from result import Ok

from figspread.background import FailureReport, print_failure, run_rounds
from figspread.ids import DataCentreId, PeerId, VmId
from figspread.platform.types import Vm, VmList, VmState

ENTRY_ROLE: Final = 'entry'
# Bounds the wait for the reading thread to end.
STOP_TIMEOUT_S: Final = 5


class VmListReader:
    """Reads the VM list every `interval_s` seconds and passes it on.

    During an outage of the list the last one read stays in force. The list
    lags: an agent's heartbeats, or their absence, report a leaving or failed
    VM earlier and more precisely.
    """

    def __init__(
        self,
        vms: VmList,
        on_vms: Callable[[Sequence[Vm]], None],
        *,
        interval_s: float,
        report_failure: FailureReport = print_failure,
    ) -> None:
        """Prepare to call `on_vms` with each list; `start` begins to read.

        A read that fails by an exception is reported to `report_failure`.
        """
        self._report_failure = report_failure
        self._vms = vms
        self._on_vms = on_vms
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run,
            name='vm-list',
            daemon=True,
        )

    def start(self) -> None:
        """Start the reading thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the reading thread and wait for it."""
        self._stopping.set()
        self._thread.join(STOP_TIMEOUT_S)

    def read(self) -> None:
        """Read the list once and pass it on; skip it if the read fails."""
        listed = self._vms.read()
        if isinstance(listed, Ok):
            self._on_vms(listed.ok_value)

    def _run(self) -> None:
        run_rounds(self._run_round, self._report_failure, self._stopping)

    def _run_round(self) -> float:
        self.read()
        return self._interval_s


class LeavingVms(msgspec.Struct, frozen=True):
    """VMs that the platform reports as leaving, by id and by `ip:port`."""

    vms: frozenset[VmId] = frozenset()
    addresses: frozenset[str] = frozenset()

    def includes(self, name: str, address: str) -> bool:
        """Tell whether the VM called `name` or at `address` is leaving."""
        return VmId(name) in self.vms or address in self.addresses


def list_leaving(vms: Iterable[Vm]) -> LeavingVms:
    """Return the VMs that are leaving."""
    leaving = [vm for vm in vms if vm.state is VmState.LEAVING]
    return LeavingVms(
        frozenset(vm.vm for vm in leaving),
        frozenset(vm.address for vm in leaving),
    )


def list_entry_peers(
    vms: Iterable[Vm],
    data_centre: DataCentreId,
) -> Sequence[PeerId]:
    """Return the live entries of a data centre."""
    return [
        PeerId(vm.vm)
        for vm in vms
        if vm.data_centre == data_centre and _is_live_entry(vm)
    ]


def count_entries(vms: Iterable[Vm]) -> int:
    """Return the number of live entries in all data centres."""
    return sum(1 for vm in vms if _is_live_entry(vm))


def _is_live_entry(vm: Vm) -> bool:
    return vm.role == ENTRY_ROLE and vm.state is VmState.LIVE
