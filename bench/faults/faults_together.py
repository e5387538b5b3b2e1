"""Two faults at once, and everything at once."""

from concurrent.futures import ThreadPoolExecutor

from bench.faults.faults_processes import (
    LATE,
    MIDDLE,
    kill_agent,
    kill_engine,
)
from bench.faults.load import Load
from bench.faults.world import World


def kill_engine_store_down(world: World, load: Load) -> None:
    """Kill an engine while the store is down."""
    load.wait_begun(MIDDLE)
    world.put_faults(world.system.objects, down=True)
    kill_engine(world, load)
    world.put_faults(world.system.objects)


def kill_entry_store_loses(world: World, load: Load) -> None:
    """Kill an entry while the store loses the answers to writes."""
    load.wait_begun(MIDDLE // 2)
    world.put_faults(world.system.objects, lose_write_answers=True)
    load.wait_begun(MIDDLE)
    world.kill_entry(0)
    load.wait_begun(LATE)
    world.put_faults(world.system.objects)


def kill_agent_vms_down(world: World, load: Load) -> None:
    """Kill an agent, and start it again, while the VM list is down."""
    world.put_faults(world.system.vms, down=True)
    kill_agent(world, load)


def restart_all(world: World, load: Load) -> None:
    """Kill all entries, agents and engines and start them again at once."""
    load.wait_begun(MIDDLE)
    for number, _ in enumerate(world.entries):
        world.kill_entry(number)
    for engine, agent in world.engines:
        engine.kill()
        agent.kill()
    world.service.agent.kill()
    starts = 2 * len(world.engines) + len(world.entries) + 1
    with ThreadPoolExecutor(starts) as pool:
        numbers = range(len(world.engines))
        pool.submit(world.start_service_agent)
        # An agent waits for its engine, so both may start together.
        list(pool.map(world.start_engine, numbers))
        list(pool.map(world.start_agent, numbers))
        list(pool.map(world.start_entry, range(len(world.entries))))
    world.wait_ready()
