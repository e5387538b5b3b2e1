"""Connections between entries: one in each direction for each pair.

Each entry dials every other entry that it knows. It sends over its own
connections and receives over theirs. So two entries need not agree on one
connection, and only the side that dialled a lost connection restores it.
"""

import asyncio
from collections.abc import Collection, Iterable, Iterator
from contextlib import suppress
from functools import partial
from typing import Final, Protocol

from websockets.asyncio.server import Server, ServerConnection

from figspread.background import BackgroundTasks
from figspread.clock import Clock
from figspread.direct.peers.peer_sender import PeerSender
from figspread.http1.sockets import enable_dead_peer_detection
from figspread.ids import PeerId
from figspread.inner.base import Message
from figspread.inner.codec import encode
from figspread.inner.connection import Connection, Timeouts, dial, listen
from figspread.inner.entry_messages import EntryHello
from figspread.telemetry.logs import Log

# Interval of checks for a silent connection.
SILENCE_CHECK_INTERVAL_S: Final = 0.5
# Pause before an entry is dialled again, doubling up to the largest.
REDIAL_FIRST_S: Final = 0.5
REDIAL_MAX_S: Final = 2.0
# Time that a dial may still take after its peer has connected to this entry.
STARTED_PEER_DIAL_S: Final = 0.05
LINK_TIMEOUTS: Final = Timeouts(
    open_s=1, close_s=0.5, heartbeat_s=0.5, silence_s=2
)


class PeerListener(Protocol):
    """What the connections are used for."""

    def make_greeting(self, hello: EntryHello | None) -> Iterable[Message]:
        """Return what a peer is sent first; its hello may not be known yet."""

    def answer_question(self, message: Message) -> Message | None:
        """Return the answer to a message that came over an own connection."""

    def handle_hello(self, hello: EntryHello) -> None:
        """Handle a peer that has opened a connection."""

    async def handle_message(
        self, conn: Connection, hello: EntryHello, message: Message
    ) -> None:
        """Handle a later message over the peer's connection."""

    def handle_loss(self, hello: EntryHello, *, is_silent: bool) -> None:
        """Handle the end of the peer's connection."""


class PeerLinks:
    """Dials other entries, accepts their connections and restores lost ones."""

    def __init__(
        self,
        hello: EntryHello,
        listener: PeerListener,
        tasks: BackgroundTasks,
        clock: Clock,
        log: Log,
    ) -> None:
        """Introduce this entry with `hello`, which has its address."""
        self._tasks = tasks
        self._hello = hello
        self._listener = listener
        self._clock = clock
        self._log = log
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}
        self._redial_events: dict[str, asyncio.Event] = {}
        self._outgoing: dict[str, PeerSender] = {}
        self._incoming: dict[PeerId, EntryHello] = {}
        self._server: Server | None = None

    @property
    def count(self) -> int:
        """The number of other entries with a connection in any direction."""
        incoming = {hello.address for hello in self._incoming.values()}
        return len(set(self._outgoing) | incoming)

    async def start(self) -> None:
        """Listen for other entries."""
        host, _, port = self._hello.address.rpartition(':')
        self._server = await listen(
            self._handle_connection,
            host,
            int(port),
            timeouts=LINK_TIMEOUTS,
        )

    async def stop(self) -> None:
        """Stop connecting to other entries and listening for them."""
        for task in self._dial_tasks.values():
            task.cancel()
        if self._server is not None:
            self._server.close()

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Connect to these entries, and reconnect after each loss."""
        for address in addresses:
            if address != self._hello.address and (
                address not in self._dial_tasks
            ):
                self._redial_events[address] = asyncio.Event()
                self._dial_tasks[address] = self._tasks.keep_running(
                    'peer connection', partial(self._stay_connected, address)
                )

    def list_dialled(self) -> Collection[str]:
        """Return the addresses of all entries that are dialled."""
        return self._dial_tasks.keys()

    def list_senders(self) -> Iterator[tuple[PeerSender, EntryHello | None]]:
        """Yield the sender to each connected entry, with its hello if known."""
        hellos = {hello.address: hello for hello in self._incoming.values()}
        for address, sender in tuple(self._outgoing.items()):
            yield sender, hellos.get(address)

    def _find_hello(self, address: str) -> EntryHello | None:
        hellos = {hello.address: hello for hello in self._incoming.values()}
        return hellos.get(address)

    async def _stay_connected(self, address: str) -> None:
        pause_s = REDIAL_FIRST_S
        redial = self._redial_events[address]
        while True:
            redial.clear()
            conn = await self._dial(address, redial)
            if conn is not None:
                pause_s = REDIAL_FIRST_S
                self._log.info('peer entry connected', address=address)
                await self._serve_outgoing(address, conn)
                self._log.warning('peer entry connection lost', address=address)
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await redial.wait()
            pause_s = min(REDIAL_MAX_S, pause_s * 2)

    async def _dial(
        self, address: str, redial: asyncio.Event
    ) -> Connection | None:
        """Return a connection, or `None` if there is none in time.

        The time is shorter once `redial` is set: the peer has started since, and
        the kernel would repeat a packet that was lost before only after a second.
        """
        dialling = asyncio.ensure_future(
            dial(
                'ws://{0}'.format(address),
                ssl=None,
                timeouts=LINK_TIMEOUTS,
                clock=self._clock,
            )
        )
        restart = asyncio.ensure_future(redial.wait())
        try:
            await asyncio.wait(
                (dialling, restart), return_when=asyncio.FIRST_COMPLETED
            )
            await asyncio.wait((dialling,), timeout=STARTED_PEER_DIAL_S)
            if not dialling.done():
                return None
            dialled = dialling.result()
            return dialled.unwrap() if dialled.is_ok() else None
        finally:
            dialling.cancel()
            restart.cancel()

    async def _serve_outgoing(self, address: str, conn: Connection) -> None:
        enable_dead_peer_detection(conn.transport)
        sender = PeerSender(conn)
        # Nothing is awaited between the greeting and the registration, so that
        # each change is in the greeting or is sent after it.
        greeting = self._listener.make_greeting(self._find_hello(address))
        for message in (self._hello, *greeting):
            sender.post(encode(message))
        self._outgoing[address] = sender
        try:
            async for received in conn.messages():
                if isinstance(received, EntryHello):
                    sender.peer = received.peer
                answer = self._listener.answer_question(received)
                if answer is not None:
                    sender.post(encode(answer))
        finally:
            self._outgoing.pop(address, None)
            conn.abort()

    async def _handle_connection(self, ws: ServerConnection) -> None:
        conn = Connection(ws, clock=self._clock, timeouts=LINK_TIMEOUTS)
        enable_dead_peer_detection(conn.transport)
        hello: EntryHello | None = None
        watchdog = asyncio.create_task(_abort_when_silent(conn))
        try:
            async for message in conn.messages():
                if isinstance(message, EntryHello):
                    hello = message
                    self._greet_peer(hello)
                    await conn.send(self._hello)
                elif hello is not None:
                    await self._listener.handle_message(conn, hello, message)
        except Exception as exc:
            # The library only ends the connection, without a word.
            self._tasks.faults.report('peer messages', exc)
            raise
        finally:
            self._end_incoming(hello, watchdog)

    def _greet_peer(self, hello: EntryHello) -> None:
        self._incoming[hello.peer] = hello
        self.connect_to((hello.address,))
        # A peer that has restarted may have ended the connection to it without
        # this side having noticed.
        sender = self._outgoing.get(hello.address)
        if sender is not None and sender.peer not in {None, hello.peer}:
            sender.abort()
        self._redial_events[hello.address].set()
        self._listener.handle_hello(hello)

    def _end_incoming(
        self, hello: EntryHello | None, watchdog: asyncio.Task[None]
    ) -> None:
        is_silent = watchdog.done()
        watchdog.cancel()
        if hello is None:
            return
        # The peer may have connected again before the end was noticed.
        is_replaced = self._incoming.get(hello.peer) is not hello
        if not is_replaced:
            self._incoming.pop(hello.peer)
            self._listener.handle_loss(hello, is_silent=is_silent)
        # Logged however the connection ended, also if the peer left.
        self._log.warning(
            'peer entry disconnected',
            peer=hello.peer,
            is_silent=is_silent,
            is_replaced=is_replaced,
        )


async def _abort_when_silent(conn: Connection) -> None:
    while True:
        await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
        silent_s = conn.clock.now() - conn.last_received
        if silent_s > LINK_TIMEOUTS.silence_s:
            conn.abort()
            return
