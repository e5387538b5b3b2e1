"""The entry as an application, and its life cycle."""

import threading
from collections.abc import Sequence
from enum import Enum
from functools import partial

from figspread.background import TaskFaults
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.duties.distribution import FleetWatcher, is_watcher
from figspread.entry.agent_connections import AgentConnector
from figspread.entry.dependencies import EntryDependencies
from figspread.entry.directory import Directory
from figspread.entry.drain import DrainEnd
from figspread.entry.gate import Gate
from figspread.entry.housekeeping import Housekeeping
from figspread.entry.link import LinkState
from figspread.entry.links import Links
from figspread.entry.loop import LoopThread
from figspread.entry.pages import CallerPages, PagesContext
from figspread.entry.receiving import (
    limit_connections,
    make_receive_options,
    plan_budgets,
)
from figspread.entry.replies import list_page_settings
from figspread.entry.request_chain import FleetAccess, build_request_chain
from figspread.entry.request_parsing import TimeLimits
from figspread.entry.status import EntryStatus, list_upstream_status
from figspread.entry.vm_list import (
    VmListReader,
    count_entries,
    list_entry_peers,
    list_leaving,
)
from figspread.http.operator import OperatorCallbacks, make_operator_server
from figspread.http.server import HttpServer, ListenOptions
from figspread.ids import PeerId
from figspread.inner.messages import Suspects
from figspread.platform.types import Vm
from figspread.telemetry.closing_reports import ClosingReports


class AppState(Enum):
    """Life-cycle states, in their usual order.

    The values appear on the operator's status page.
    """

    NEW = 'new'
    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    STOPPED = 'stopped'


class EntryApp:
    """Owns an entry's threads, its connections and its HTTP servers."""

    def __init__(self, parts: EntryDependencies) -> None:
        """Build all components; no thread runs before `start`."""
        self.state = AppState.NEW
        self._parts = parts
        self._vms: tuple[Vm, ...] = ()
        self._drain_delay = threading.Event()
        faults = TaskFaults(parts.log, parts.metrics)
        self._holder = FleetHolder()
        self._loop = LoopThread()
        self._gate = Gate(parts.cfg.http.admitted_requests)
        self._drain_end = DrainEnd(parts.clock)
        connector = AgentConnector(parts, self._holder, self._is_leaving)
        link_context = connector.make_link_context(self._merge_suspects)
        self._links = Links(
            self._loop,
            link_context,
            home=parts.cfg.data_centre,
            report_failure=partial(faults.report, 'agent connection'),
        )
        self._directory = Directory(self._holder, self._links, parts.clock)
        self._watcher = FleetWatcher(
            parts.store,
            self._holder,
            rng=parts.rng,
            is_needed=self._must_read_store,
            report_failure=partial(faults.report, 'configuration'),
        )
        self._housekeeping = Housekeeping(
            parts.store,
            PeerId(parts.cfg.vm),
            clock=parts.clock,
            wall_clock=parts.wall_clock,
            rng=parts.rng,
            is_needed=self._is_watcher,
            report_failure=partial(faults.report, 'housekeeping'),
        )
        self._members = VmListReader(
            parts.vms,
            self._apply_vm_list,
            interval_s=parts.cfg.vm_list.interval_s,
            report_failure=partial(faults.report, 'VM list'),
        )
        self._server = self._make_server()
        self._operator = make_operator_server(
            self._make_operator_callbacks(),
            parts.cfg.operator_port,
        )

    @property
    def port(self) -> int:
        """TCP port of the callers' HTTP server."""
        return self._server.port

    @property
    def operator_port(self) -> int:
        """TCP port of the operator's HTTP server."""
        return self._operator.port

    def start(self) -> None:
        """Start all threads and both HTTP servers.

        The entry reports ready once it has applied a configuration.
        """
        self.state = AppState.STARTING
        self._loop.start()
        self._holder.subscribe(self._apply_fleet)
        self._members.start()
        self._watcher.start()
        self._housekeeping.start()
        self._operator.start()
        self._server.start()

    def drain(self) -> bool:
        """Report not ready, refuse new requests, and wait for those in flight.

        New requests are accepted for `accept_after_leaving_s` more seconds, so
        that the load balancer has time to see that the entry isn't ready; of
        these, the ones whose time limit is beyond the end of the drain are
        refused. Return whether all requests ended within `drain_limit_s`
        seconds after that. The others are cancelled, and get their answers
        before `stop` returns.
        """
        cfg = self._parts.cfg
        self.state = AppState.DRAINING
        self._server.close_after_answers()
        self._drain_end.set_time_left(
            cfg.accept_after_leaving_s + cfg.drain_limit_s
        )
        self._drain_delay.wait(cfg.accept_after_leaving_s)
        self._gate.close()
        is_whole = self._gate.wait_until_empty(cfg.drain_limit_s)
        if not is_whole:
            self._links.cancel_all_attempts()
        return is_whole

    def stop(self) -> None:
        """Stop all threads and close all connections and servers."""
        self.state = AppState.STOPPED
        self._members.stop()
        self._watcher.stop()
        self._housekeeping.stop()
        self._server.stop()
        self._operator.stop()
        self._links.close()
        self._loop.stop()
        self._parts.metrics.close()
        self._parts.tracer.close()

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send requests here."""
        return self.state is AppState.READY

    def build_status(self) -> EntryStatus:
        """Return the operator's status document of this entry."""
        return EntryStatus(
            process=self._parts.cfg.vm,
            data_centre=self._parts.cfg.data_centre,
            state=self.state.value,
            config_number=self._holder.fleet.number,
            is_watcher=self._is_watcher(),
            callers=self._gate.in_flight,
            upstreams=list_upstream_status(self._links.list_links()),
        )

    def _is_leaving(self) -> bool:
        return self.state is AppState.DRAINING

    def _must_read_store(self) -> bool:
        """Tell whether this entry must read the configuration from the store.

        Other entries learn of a new configuration from their agents. It must
        be read from the store by the data centre's watchers, and by any entry
        that has no configuration yet or no open connection to an agent.
        """
        if self._holder.fleet.number == 0 or self._is_watcher():
            return True
        return not any(
            link.state is LinkState.OPEN for link in self._links.list_links()
        )

    def _is_watcher(self) -> bool:
        peers = list_entry_peers(self._vms, self._parts.cfg.data_centre)
        return is_watcher(PeerId(self._parts.cfg.vm), peers)

    def _apply_vm_list(self, vms: Sequence[Vm]) -> None:
        self._vms = tuple(vms)
        self._directory.update_leaving_vms(list_leaving(vms))
        self._parts.admission.update_live_entries(count_entries(vms))

    def _merge_suspects(self, suspects: Suspects) -> None:
        changed_rows = self._parts.suspects.merge(suspects.rows)
        if changed_rows:
            self._links.broadcast(Suspects(tuple(changed_rows)))

    def _apply_fleet(self, fleet: Fleet) -> None:
        self._parts.admission.set_workspaces(fleet.workspaces)
        self._parts.metrics.set_config_number(fleet.number)
        self._links.apply_fleet(fleet)
        if self.state is AppState.STARTING:
            self.state = AppState.READY

    def _make_server(self) -> HttpServer:
        parts, cfg = self._parts, self._parts.cfg
        fleet_access = FleetAccess(self._holder, self._links, self._directory)
        budgets = plan_budgets(cfg.http)
        pages = CallerPages(
            PagesContext(
                clock=parts.clock,
                holder=self._holder,
                gate=self._gate,
                drain_end=self._drain_end,
                limits=TimeLimits(
                    cfg.default_time_limit_s,
                    cfg.max_time_limit_s,
                ),
                body_limit_bytes=cfg.http.body_limit_bytes,
                bodies=budgets.bodies,
                answers=budgets.answers,
                is_ready=self.is_ready,
                run=build_request_chain(parts, fleet_access),
            ),
        )
        listen = ListenOptions(
            cfg.http.host,
            cfg.http.port,
            threads=cfg.http.threads,
            body_limit=0,
        )
        receive = make_receive_options(
            cfg.http,
            limit_connections(cfg.http.connections),
            budgets,
            self._gate,
            ClosingReports(parts.clock, parts.log, parts.metrics),
        )
        return HttpServer(pages, listen, list_page_settings(), receive)

    def _make_operator_callbacks(self) -> OperatorCallbacks:
        return OperatorCallbacks(
            get_status=self.build_status,
            list_hops=self._parts.trail.list_hops,
            render_metrics=self._parts.metrics.render,
            drain=self._parts.request_stop,
        )
