"""Injects two faults at a time, and restarts all processes at once."""

from concurrent.futures import ThreadPoolExecutor

from bench.faults.faults_processes import (
    CALLS_BEFORE_FAULT,
    CALLS_BEFORE_RECOVERY,
    kill_agent,
    kill_engine,
)
from bench.faults.load import LoadGenerator
from bench.faults.testbed import Testbed


def kill_engine_store_down(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill an engine while the store is down."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(testbed.system.objects, down=True)
    kill_engine(testbed, load)
    testbed.set_faults(testbed.system.objects)


def kill_entry_store_loses(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill an entry while the store drops the answers to writes."""
    load.wait_until_started(CALLS_BEFORE_FAULT // 2)
    testbed.set_faults(testbed.system.objects, lose_write_answers=True)
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.kill_entry(0)
    load.wait_until_started(CALLS_BEFORE_RECOVERY)
    testbed.set_faults(testbed.system.objects)


def kill_agent_vms_down(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill an agent and start it again while the VM list is down."""
    testbed.set_faults(testbed.system.vms, down=True)
    kill_agent(testbed, load)


def restart_all(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill all entries, agents and engines, then restart them.

    Engines start first, then their agents, then the entries; each group starts
    in parallel. The agent of the plain service starts alongside.
    """
    load.wait_until_started(CALLS_BEFORE_FAULT)
    for number, _ in enumerate(testbed.entries):
        testbed.kill_entry(number)
    for engine, agent in testbed.engines:
        engine.kill()
        agent.kill()
    testbed.service.agent.kill()
    start_count = 2 * len(testbed.engines) + len(testbed.entries) + 1
    with ThreadPoolExecutor(start_count) as pool:
        numbers = range(len(testbed.engines))
        pool.submit(testbed.start_service_agent)
        list(pool.map(testbed.start_engine, numbers))
        list(pool.map(testbed.start_agent, numbers))
        list(pool.map(testbed.start_entry, range(len(testbed.entries))))
    testbed.wait_ready()
