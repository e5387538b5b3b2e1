"""Kills, suspends and terminates entries, agents and engines."""

import signal
from typing import Final

from bench.faults.calls import CALL_COUNT
from bench.faults.load import LoadGenerator
from bench.faults.testbed import Testbed

CALLS_BEFORE_FAULT: Final = 14
CALLS_BEFORE_RECOVERY: Final = 24
ALL_CALLS: Final = CALL_COUNT
SUSPENDED_S: Final = 3.0
# Longer than the time limit of any call.
PAST_LIMITS_S: Final = 8.0


def inject_no_fault(_testbed: Testbed, _load: LoadGenerator) -> None:
    """Inject no fault: the baseline case."""


def kill_engine(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill an engine and start it again after more calls have started."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.engines[0].upstream.kill()
    load.wait_until_started(CALLS_BEFORE_RECOVERY)
    testbed.start_engine(0)


def kill_agent(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill the agent of an engine and start it again at once."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.engines[0].agent.kill()
    testbed.start_agent(0)


def suspend_agents(testbed: Testbed, load: LoadGenerator) -> None:
    """Suspend the agents of an engine and of the service for `SUSPENDED_S`."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    agents = (testbed.engines[0].agent, testbed.service.agent)
    for agent in agents:
        agent.send(signal.SIGSTOP)
    testbed.system.pause(SUSPENDED_S)
    for agent in agents:
        agent.send(signal.SIGCONT)


def kill_entry(testbed: Testbed, load: LoadGenerator) -> None:
    """Kill an entry; its callers retry at the other one."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.kill_entry(0)


def suspend_entry(testbed: Testbed, load: LoadGenerator) -> None:
    """Suspend an entry until all time limits have passed, then resume it."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.interrupted_ports.add(testbed.ports[0])
    testbed.entries[0].send(signal.SIGSTOP)
    testbed.system.pause(PAST_LIMITS_S)
    testbed.entries[0].send(signal.SIGCONT)


def terminate_entry(testbed: Testbed, load: LoadGenerator) -> None:
    """Terminate an entry under load and check its exit code."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    testbed.entries[0].send(signal.SIGTERM)
    _check_exit_code(testbed, testbed.entries[0].wait())


def replace_entries(testbed: Testbed, load: LoadGenerator) -> None:
    """Restart both entries under load, one after the other."""
    for number, started_calls in enumerate(
        (CALLS_BEFORE_FAULT // 2, CALLS_BEFORE_RECOVERY)
    ):
        load.wait_until_started(started_calls)
        testbed.entries[number].send(signal.SIGTERM)
        _check_exit_code(testbed, testbed.entries[number].wait())
        testbed.start_entry(number)
        testbed.wait_ready()


def terminate_agent(testbed: Testbed, load: LoadGenerator) -> None:
    """Terminate an engine's agent under load and check its exit code."""
    load.wait_until_started(CALLS_BEFORE_FAULT)
    agent = testbed.engines[0].agent
    agent.send(signal.SIGTERM)
    _check_exit_code(testbed, agent.wait())


def _check_exit_code(testbed: Testbed, code: int) -> None:
    if code:
        testbed.unmet_expectations.append('exit code {0}'.format(code))
