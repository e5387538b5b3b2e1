"""Injects faults into the platform's store and VM list."""

import signal
from typing import Final

from bench.faults.faults_processes import ALL_CALLS, CALLS_BEFORE_FAULT
from bench.faults.load import LoadGenerator
from bench.faults.testbed import Testbed
from bench.processes import Process

STORE_DELAY_S: Final = 0.5
REROUTE_TIMEOUT_S: Final = 2.0


def take_store_down(testbed: Testbed, load: LoadGenerator) -> None:
    """Make the store unavailable until all calls have started."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(testbed.system.objects, down=True)
    load.wait_until_started(ALL_CALLS)
    testbed.set_faults(testbed.system.objects)


def slow_store(testbed: Testbed, load: LoadGenerator) -> None:
    """Delay each call of the store by `STORE_DELAY_S`."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(testbed.system.objects, slow_s=STORE_DELAY_S)


def drop_write_answers(testbed: Testbed, load: LoadGenerator) -> None:
    """Make the store apply writes but drop the answers to them."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.set_faults(testbed.system.objects, lose_write_answers=True)


def terminate_agent_while_list_lags(
    testbed: Testbed, load: LoadGenerator
) -> None:
    """Terminate an agent that the VM list still reports as live."""
    name = testbed.engines[0].agent.name
    address = '127.0.0.1:{0}'.format(testbed.engines[0].agent.port)
    testbed.set_vm_list(
        {
            'vm': name,
            'state': 'live',
            'data_centre': 'mu-a',
            'address': address,
            'role': 'agent',
        },
    )
    _terminate_agent(testbed, load)


def terminate_agent_while_list_is_down(
    testbed: Testbed, load: LoadGenerator
) -> None:
    """Terminate an agent while the VM list is unavailable."""
    testbed.set_faults(testbed.system.vms, down=True)
    _terminate_agent(testbed, load)


def _terminate_agent(testbed: Testbed, load: LoadGenerator) -> None:
    """Terminate an agent and check that its engine gets no new work.

    Within `REROUTE_TIMEOUT_S` of the signal, the entries must stop sending
    new attempts to it.
    """
    load.wait_until_started(CALLS_BEFORE_FAULT)
    engine, agent = testbed.engines[0]
    agent.send(signal.SIGTERM)
    testbed.system.pause(REROUTE_TIMEOUT_S)
    before = _count_runs(testbed, engine)
    load.join()
    after = _count_runs(testbed, engine)
    if after > before:
        testbed.unmet_expectations.append(
            '{0} runs began after the agent left'.format(after - before)
        )


def _count_runs(testbed: Testbed, engine: Process) -> int:
    return testbed.count_runs_on(engine).total()
