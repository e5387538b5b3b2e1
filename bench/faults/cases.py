"""The table of all fault cases, in the order in which they are printed."""

from typing import Final

from bench.faults import faults_combined as combined
from bench.faults import faults_platform as platform
from bench.faults import faults_processes as processes
from bench.faults import faults_upstreams as upstreams
from bench.faults.runner import ONLY_ANSWERED, Case
from bench.faults.testbed import TestbedOptions

CASES: Final = (
    Case('none', processes.inject_no_fault, endings=ONLY_ANSWERED),
    Case('engine-kill', processes.kill_engine),
    Case('agent-kill', processes.kill_agent),
    Case('agent-stop', processes.suspend_agents),
    Case('entry-kill', processes.kill_entry),
    Case('entry-stop', processes.suspend_entry),
    Case('entry-term', processes.terminate_entry, endings=ONLY_ANSWERED),
    Case('entries-replaced', processes.replace_entries, endings=ONLY_ANSWERED),
    Case('agent-term', processes.terminate_agent, endings=ONLY_ANSWERED),
    Case(
        'silent-connection',
        upstreams.stall_connection,
        TestbedOptions(has_relay=True),
    ),
    Case('engine-never-answers', upstreams.accept_and_never_answer),
    Case('engine-silent-in-stream', upstreams.stall_stream),
    Case('engine-cuts-stream', upstreams.cut_stream),
    Case('service-cut-before-run', upstreams.cut_before_run),
    Case('service-cut-after-run', upstreams.cut_after_run),
    Case('service-cut-in-head', upstreams.cut_in_head),
    Case(
        'callers-leave',
        upstreams.leave_fault_to_callers,
        build_calls=upstreams.make_disconnecting_calls,
    ),
    Case(
        'deadly-request',
        upstreams.inject_crashing_prompt,
        TestbedOptions(engines=4),
        build_calls=upstreams.make_crashing_calls,
    ),
    Case('store-down', platform.take_store_down),
    Case('store-slow', platform.slow_store),
    Case('store-loses-answers', platform.drop_write_answers),
    Case('vms-lag-agent-term', platform.terminate_agent_while_list_lags),
    Case('vms-down-agent-term', platform.terminate_agent_while_list_is_down),
    Case('engine-kill+store-down', combined.kill_engine_store_down),
    Case('entry-kill+store-loses', combined.kill_entry_store_loses),
    Case('agent-kill+vms-down', combined.kill_agent_vms_down),
    Case('all-restarted', combined.restart_all),
)
