"""Orders to a stand-in engine, with or without a check of fencing numbers.

A model or adapter is looked up in the weight store, at the rate that the
store allows, and then takes its time to load. One that the store does not
have is never loaded. The order itself is answered at once.
"""

import threading
from collections.abc import Callable, Mapping
from typing import Any, Final

import urllib3
from result import Err, Ok, Result

from figspread.clock import MonotonicClock
from figspread.ids import ModelName
from figspread.platform.weights import HttpWeightStore, RateLimit, TokenBucket
from figspread.standins.engine_requests import Refusal
from figspread.standins.engine_settings import EngineSettings
from figspread.upstream.types import EngineOrder, EngineOrderKind

_KEPT_ORDERS: Final = 10_000
RETRY_S: Final = 0.2
WEIGHTS_TIMEOUT_S: Final = 5.0
WEIGHTS_RATE: Final = RateLimit(calls_per_s=1, burst=2)
# An adapter is a small part of a model's weights.
_ADAPTER_SHARE: Final = 0.1


class OrderDesk:
    """Obeys orders; models and adapters are there only once loaded."""

    def __init__(self, settings: EngineSettings) -> None:
        """Start with the models of `settings`."""
        self._settings = settings
        self._lock = threading.Lock()
        self._models = set(settings.models)
        self._obeyed: list[EngineOrder] = []
        self._highest = 0
        self._role = ''
        self._loads: list[threading.Thread] = []
        self._is_stopped = threading.Event()
        self._store = connect_store(settings)
        self._acts: Mapping[EngineOrderKind, Callable[[EngineOrder], None]] = {
            EngineOrderKind.LOAD_MODEL: self._load_model,
            EngineOrderKind.LOAD_ADAPTER: self._load_adapter,
            EngineOrderKind.UNLOAD_MODEL: self._unload,
            EngineOrderKind.CHANGE_ROLE: self._change_role,
        }

    def list_models(self) -> tuple[str, ...]:
        """Return the models and adapters that are loaded, by name."""
        with self._lock:
            return tuple(sorted(self._models))

    def obey(self, order: EngineOrder) -> Result[None, Refusal]:
        """Start to do what `order` says; an old one may be refused."""
        with self._lock:
            is_old = order.fencing < self._highest
            if is_old and self._settings.checks_fencing:
                return Err(Refusal(409, 'a newer fencing number was seen'))
            self._highest = max(self._highest, order.fencing)
            self._obeyed = [*self._obeyed, order][-_KEPT_ORDERS:]
        self._acts[order.kind](order)
        return Ok(None)

    def to_document(self) -> Mapping[str, Any]:
        """Return what was obeyed, in its order."""
        with self._lock:
            return {
                'obeyed': self._obeyed,
                'highest': self._highest,
                'role': self._role,
            }

    def wait_for_loads(self) -> None:
        """Return once all that is being loaded is loaded or given up."""
        with self._lock:
            loads = tuple(self._loads)
        for load in loads:
            load.join()

    def stop(self) -> None:
        """Give up what is being loaded."""
        self._is_stopped.set()

    def _load_model(self, order: EngineOrder) -> None:
        self._start_load(order, self._settings.load_model_s)

    def _load_adapter(self, order: EngineOrder) -> None:
        self._start_load(order, self._settings.load_model_s * _ADAPTER_SHARE)

    def _unload(self, order: EngineOrder) -> None:
        with self._lock:
            self._models.discard(order.target)

    def _change_role(self, order: EngineOrder) -> None:
        with self._lock:
            self._role = order.target

    def _start_load(self, order: EngineOrder, length_s: float) -> None:
        load = threading.Thread(
            target=self._load,
            args=(order, length_s / self._settings.time_scale),
            daemon=True,
        )
        with self._lock:
            self._loads = [one for one in self._loads if one.is_alive()]
            self._loads.append(load)
            load.start()

    def _load(self, order: EngineOrder, length_s: float) -> None:
        if not self._has_weights(order):
            return
        if not self._is_stopped.wait(length_s):
            with self._lock:
                self._models.add(order.target)

    def _has_weights(self, order: EngineOrder) -> bool:
        if self._store is None:
            return True
        while not self._is_stopped.is_set():
            found = self._store.find(ModelName(order.target), order.version)
            if isinstance(found, Ok):
                return found.ok_value is not None
            wait_s = max(RETRY_S, found.err_value.retry_after_s)
            self._is_stopped.wait(wait_s)
        return False


def connect_store(settings: EngineSettings) -> HttpWeightStore | None:
    """Return a client of the weight store that `settings` name, if any."""
    if not settings.weight_store:
        return None
    return HttpWeightStore(
        settings.weight_store,
        timeout_s=WEIGHTS_TIMEOUT_S,
        pool=urllib3.PoolManager(),
        bucket=TokenBucket(WEIGHTS_RATE, MonotonicClock()),
    )
