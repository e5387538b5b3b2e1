"""Orders to a stand-in engine, with or without a check of fencing numbers.

An order is answered immediately. A model or adapter is then looked up in the
weight store, within the store's rate limit, and takes `load_model_s` or a
share of it to load. It is never loaded if the store doesn't have it.
"""

import threading
from collections.abc import Callable, Mapping
from typing import Any, Final

from result import Err, Ok, Result

from figspread.clock import MonotonicClock
from figspread.http.client import ClientPool
from figspread.ids import ModelName
from figspread.platform.weights import HttpWeightStore, RateLimit, TokenBucket
from figspread.standins.engine_requests import Refusal
from figspread.standins.engine_settings import EngineSettings
from figspread.upstream.types import EngineOrder, EngineOrderKind

_MAX_RECORDED_ORDERS: Final = 10_000
STORE_RETRY_DELAY_S: Final = 0.2
STORE_TIMEOUT_S: Final = 5.0
STORE_RATE_LIMIT: Final = RateLimit(calls_per_s=1, burst=2)
# Load time of an adapter relative to a model, which has far more weights.
_ADAPTER_LOAD_TIME_RATIO: Final = 0.1


class OrderExecutor:
    """Applies orders and keeps the list of loaded models and adapters."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start with the models of `settings` loaded."""
        self._settings = settings
        self._lock = threading.Lock()
        self._models = set(settings.models)
        self._accepted: list[EngineOrder] = []
        self._highest_fencing = 0
        self._role = ''
        self._loads: list[threading.Thread] = []
        self._is_stopped = threading.Event()
        self._store = connect_store(settings)
        self._handlers: Mapping[
            EngineOrderKind, Callable[[EngineOrder], None]
        ] = {
            EngineOrderKind.LOAD_MODEL: self._load_model,
            EngineOrderKind.LOAD_ADAPTER: self._load_adapter,
            EngineOrderKind.UNLOAD_MODEL: self._unload,
            EngineOrderKind.CHANGE_ROLE: self._change_role,
        }

    def list_models(self) -> tuple[str, ...]:
        """Return the models and adapters that are loaded, by name."""
        with self._lock:
            return tuple(sorted(self._models))

    def apply_order(self, order: EngineOrder) -> Result[None, Refusal]:
        """Record `order` and start to apply it.

        Refuse with 409 a fencing number below the highest one seen, if the
        settings check fencing numbers.
        """
        with self._lock:
            is_old = order.fencing < self._highest_fencing
            if is_old and self._settings.checks_fencing:
                return Err(Refusal(409, 'a newer fencing number was seen'))
            self._highest_fencing = max(self._highest_fencing, order.fencing)
            self._accepted = [*self._accepted, order][-_MAX_RECORDED_ORDERS:]
        self._handlers[order.kind](order)
        return Ok(None)

    def to_document(self) -> Mapping[str, Any]:
        """Return the latest accepted orders, oldest first, and their state.

        Accepted loads are included from the start, also those that are
        unfinished or never happen. The state is the highest fencing number
        seen and the role.
        """
        with self._lock:
            return {
                'obeyed': self._accepted,
                'highest': self._highest_fencing,
                'role': self._role,
            }

    def wait_for_loads(self) -> None:
        """Wait until all loads have finished or been abandoned."""
        with self._lock:
            loads = tuple(self._loads)
        for thread in loads:
            thread.join()

    def stop(self) -> None:
        """Abandon all loads."""
        self._is_stopped.set()

    def _load_model(self, order: EngineOrder) -> None:
        self._start_load(order, self._settings.load_model_s)

    def _load_adapter(self, order: EngineOrder) -> None:
        self._start_load(
            order, self._settings.load_model_s * _ADAPTER_LOAD_TIME_RATIO
        )

    def _unload(self, order: EngineOrder) -> None:
        with self._lock:
            self._models.discard(order.target)

    def _change_role(self, order: EngineOrder) -> None:
        with self._lock:
            self._role = order.target

    def _start_load(self, order: EngineOrder, duration_s: float) -> None:
        thread = threading.Thread(
            target=self._load_weights,
            args=(order, duration_s / self._settings.time_scale),
            daemon=True,
        )
        with self._lock:
            self._loads = [load for load in self._loads if load.is_alive()]
            self._loads.append(thread)
            thread.start()

    def _load_weights(self, order: EngineOrder, duration_s: float) -> None:
        if not self._has_weights(order):
            return
        if not self._is_stopped.wait(duration_s):
            with self._lock:
                self._models.add(order.target)

    def _has_weights(self, order: EngineOrder) -> bool:
        if self._store is None:
            return True
        while not self._is_stopped.is_set():
            lookup = self._store.find(ModelName(order.target), order.version)
            if isinstance(lookup, Ok):
                return lookup.ok_value is not None
            wait_s = max(STORE_RETRY_DELAY_S, lookup.err_value.retry_after_s)
            self._is_stopped.wait(wait_s)
        return False


def connect_store(settings: EngineSettings) -> HttpWeightStore | None:
    """Return a client of the weight store in `settings`, if there is one."""
    if not settings.weight_store:
        return None
    return HttpWeightStore(
        settings.weight_store,
        timeout_s=STORE_TIMEOUT_S,
        pool=ClientPool(),
        bucket=TokenBucket(STORE_RATE_LIMIT, MonotonicClock()),
    )
