"""How an entry asks for a configuration that its agents speak of."""

import msgspec
from bench.capacity.links import make_link_needs
from result import Err, Ok

from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.entry.fetching import FETCH_PATIENCE_S
from figspread.entry.link import Link, LinkNeeds
from figspread.ids import UpstreamId
from figspread.inner.base import Message
from figspread.inner.messages import (
    AnyMessage,
    ConfigCopy,
    FetchConfig,
    Heartbeat,
)

LINKS = 476


class RecordedLink(Link):
    """Keeps what it would send."""

    def __init__(self, name: str, needs: LinkNeeds) -> None:
        """Start with nothing sent."""
        super().__init__(UpstreamId(name), '127.0.0.1:1', needs)
        self.sent: list[Message] = []

    def post(self, message: Message) -> None:
        """Keep `message`."""
        self.sent.append(message)

    def hear(self, message: AnyMessage) -> None:
        """Take a message as from the agent."""
        self._take(message)


class Rig:
    """An entry's links, all to agents that speak of new configurations."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.clock = ManualClock()
        self.holder = FleetHolder()
        needs = msgspec.structs.replace(
            make_link_needs(self.holder),
            clock=self.clock,
        )
        self.links = [
            RecordedLink('vm-{0}'.format(one), needs) for one in range(LINKS)
        ]

    def hear_all(self, number: int) -> int:
        """Have all agents tell a number; return how often it is asked for."""
        before = self._count_asked()
        for link in self.links:
            link.hear(Heartbeat(number))
        return self._count_asked() - before

    def _count_asked(self) -> int:
        return sum(
            isinstance(message, FetchConfig)
            for link in self.links
            for message in link.sent
        )


def make_copy(number: int) -> ConfigCopy:
    """Return a configuration with nothing but a number."""
    return ConfigCopy(number, dump_fleet(Fleet(number=number)))


def test_a_new_configuration_is_asked_for_once() -> None:
    """A copy for each link would be hundreds of large ones."""
    rig = Rig()
    assert rig.hear_all(1) == 1
    rig.links[0].hear(make_copy(1))
    assert rig.holder.fleet.number == 1
    assert rig.hear_all(1) == 0
    assert rig.hear_all(2) == 1


def test_a_copy_that_does_not_come_is_asked_for_again() -> None:
    """Of another agent too, and not before its time."""
    rig = Rig()
    assert rig.hear_all(1) == 1
    rig.clock.advance(FETCH_PATIENCE_S / 2)
    assert rig.hear_all(1) == 0
    rig.clock.advance(FETCH_PATIENCE_S / 2)
    assert rig.hear_all(1) == 1


def test_a_damaged_copy_does_not_hasten_the_next() -> None:
    """It would be asked for in a circle."""
    rig = Rig()
    assert rig.hear_all(1) == 1
    damaged = ConfigCopy(1, b'no configuration')
    assert isinstance(rig.holder.offer(damaged.document), Err)
    rig.links[0].hear(damaged)
    assert rig.hear_all(1) == 0
    assert rig.holder.offer(make_copy(1).document) == Ok(True)  # noqa: WPS425
