"""Fetching a new configuration that many agents announce at once."""

import msgspec
from bench.capacity.links import make_link_context
from result import Err, Ok

from figspread.clock import ManualClock
from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder
from figspread.entry.config_fetch import FETCH_TIMEOUT_S
from figspread.entry.link import Link, LinkContext
from figspread.ids import UpstreamId
from figspread.inner.base import Message
from figspread.inner.messages import (
    AnyMessage,
    ConfigCopy,
    FetchConfig,
    Heartbeat,
)

LINKS = 476


class RecordingLink(Link):
    """A link that records messages instead of sending them."""

    def __init__(self, name: str, context: LinkContext) -> None:
        """Start with no messages."""
        super().__init__(UpstreamId(name), '127.0.0.1:1', context)
        self.sent: list[Message] = []

    def send_nowait(self, message: Message) -> None:
        """Record `message`."""
        self.sent.append(message)

    def receive(self, message: AnyMessage) -> None:
        """Handle a message as if received from the agent."""
        self._handle_message(message)


class FetchHarness:
    """An entry's links to `LINKS` agents that announce configurations."""

    def __init__(self) -> None:
        """Start with an empty configuration."""
        self.clock = ManualClock()
        self.holder = FleetHolder()
        context = msgspec.structs.replace(
            make_link_context(self.holder),
            clock=self.clock,
        )
        self.links = [
            RecordingLink('vm-{0}'.format(num), context) for num in range(LINKS)
        ]

    def announce(self, number: int) -> int:
        """Announce `number` on all links; return how many fetches are sent."""
        before = self._count_fetches()
        for link in self.links:
            link.receive(Heartbeat(number))
        return self._count_fetches() - before

    def _count_fetches(self) -> int:
        return sum(
            isinstance(message, FetchConfig)
            for link in self.links
            for message in link.sent
        )


def make_config_copy(number: int) -> ConfigCopy:
    """Return a copy of an empty configuration with this number."""
    return ConfigCopy(number, dump_fleet(Fleet(number=number)))


def test_new_configuration_is_fetched_once() -> None:
    """One fetch for each link would transfer hundreds of large copies."""
    harness = FetchHarness()
    assert harness.announce(1) == 1
    harness.links[0].receive(make_config_copy(1))
    assert harness.holder.fleet.number == 1
    assert harness.announce(1) == 0
    assert harness.announce(2) == 1


def test_unanswered_fetch_is_repeated_after_timeout() -> None:
    """Any agent may be asked next, but not before the timeout."""
    harness = FetchHarness()
    assert harness.announce(1) == 1
    harness.clock.advance(FETCH_TIMEOUT_S / 2)
    assert harness.announce(1) == 0
    harness.clock.advance(FETCH_TIMEOUT_S / 2)
    assert harness.announce(1) == 1


def test_invalid_copy_is_not_fetched_again_at_once() -> None:
    """An invalid copy would otherwise be fetched again in a loop."""
    harness = FetchHarness()
    assert harness.announce(1) == 1
    invalid = ConfigCopy(1, b'no configuration')
    assert isinstance(harness.holder.apply_if_newer(invalid.document), Err)
    harness.links[0].receive(invalid)
    assert harness.announce(1) == 0
    assert harness.holder.apply_if_newer(make_config_copy(1).document) == Ok(
        True
    )  # noqa: WPS425
