"""A stand-in language-model engine with an HTTP API."""

import threading
from collections.abc import Callable
from typing import Any, Final

from figspread.clock import Clock, MonotonicClock
from figspread.http.server import HttpServer, ListenOptions
from figspread.standins.engine_completions import CompletionPages
from figspread.standins.engine_orders import OrderExecutor
from figspread.standins.engine_pages import EnginePages
from figspread.standins.engine_runner import EngineRunner
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.run_record import RunRecord

# A thread for each of the default 128 `max_requests`, streamed or not, and 32
# for cancels, reports and KV imports. Doesn't follow the setting.
ENGINE_THREADS: Final = 160
ENGINE_BODY_LIMIT_BYTES: Final = 16_777_216
PAGES: Final[dict[str, Any]] = {
    '/': {
        'request.process_request_body': False,
        'response.stream': True,
        'request.show_tracebacks': False,
        'request.query_string_encoding': 'ISO-8859-1',
        'tools.trailing_slash.on': False,
    },
}


def engine_listen_options(
    host: str = '127.0.0.1', port: int = 0
) -> ListenOptions:
    """Return `ListenOptions` with the threads and body limit of an engine."""
    return ListenOptions(host, port, ENGINE_THREADS, ENGINE_BODY_LIMIT_BYTES)


class EngineStandIn:
    """An engine that answers with the timing of `EngineSimulation`."""

    def __init__(
        self,
        listen: ListenOptions | None = None,
        settings: EngineSettings | None = None,
        *,
        clock: Clock | None = None,
        on_death: Callable[[], None] | None = None,
    ) -> None:
        """Prepare an engine.

        `on_death` is called when a prompt contains the marker of the fault
        `die_on_marker`; without it the stand-in stops.
        """
        settings = settings or EngineSettings()
        self._listen = listen or engine_listen_options()
        self.orders = OrderExecutor(settings)
        self.runner = EngineRunner(
            settings,
            clock or MonotonicClock(),
            self.orders.list_models,
        )
        self.runs = RunRecord()
        completions = CompletionPages(
            self.runner,
            settings,
            self.runs,
            self.orders,
            on_death or self._stop_in_background,
        )
        pages = EnginePages(self.runner, completions, self.orders, settings)
        self._server = HttpServer(pages, self._listen, PAGES)

    @property
    def url(self) -> str:
        """The engine's base URL."""
        return 'http://{0}:{1}'.format(self._listen.host, self._server.port)

    @property
    def port(self) -> int:
        """The port that the engine listens on."""
        return self._server.port

    def start(self) -> None:
        """Start the simulation and listen."""
        self.runner.start()
        self._server.start()

    def stop(self) -> None:
        """End all streams and stop listening."""
        self.orders.stop()
        self.runner.stop()
        self._server.stop()

    def _stop_in_background(self) -> None:
        # Not in the handler's own thread, as `stop` waits for all handlers.
        threading.Thread(target=self.stop, daemon=True).start()
