"""Answers readiness checks and requests for metrics."""

import asyncio
from collections.abc import Callable
from typing import Final

from figspread.http1.caller import CallerConnection
from figspread.http1.requests import Request
from figspread.telemetry.metrics import Metrics

# Connections of the platform's health checks and for metrics. Each opens one at a time.
PROBE_CONNECTIONS: Final = 16


class ProbeAnswers:
    """The pages of an entry that its platform asks for."""

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        """Tell whether the entry `is_ready`, and its `metrics`."""
        self._is_ready = is_ready
        self._metrics = metrics

    async def answer(self, request: Request, conn: CallerConnection) -> None:
        """Answer one request."""
        if request.target.startswith(b'/metrics'):
            text = await asyncio.to_thread(self._metrics.render)
            await conn.respond(200, [], text)
            return
        await conn.respond(200 if self._is_ready() else 503, [], b'')
