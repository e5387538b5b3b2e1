"""The HTTP API of a stand-in engine."""

from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias, TypeVar

import cherrypy
import msgspec
from result import Err, Ok, Result

from figspread.standins.engine_completions import CompletionPages
from figspread.standins.engine_kv import fetch_record
from figspread.standins.engine_orders import OrderExecutor
from figspread.standins.engine_requests import Refusal
from figspread.standins.engine_runner import EngineRunner
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_text import KvSource
from figspread.standins.http import answer_error, answer_json, read_body
from figspread.upstream.types import EngineOrder

_Page: TypeAlias = Callable[[], bytes | Iterator[bytes]]
_ItemPage: TypeAlias = Callable[[str], bytes]

_Body = TypeVar('_Body')


class ExportBody(msgspec.Struct, frozen=True):
    """The attempt whose KV cache is to be exported."""

    attempt: str


class EnginePages:
    """All endpoints of the engine; unknown ones are answered with 404."""

    def __init__(
        self,
        runner: EngineRunner,
        completions: CompletionPages,
        orders: OrderExecutor,
        settings: EngineSettings,
    ) -> None:
        """Serve `runner` and `orders`."""
        self._runner = runner
        self._orders = orders
        self._settings = settings
        self._completions = completions
        self._routes: Mapping[str, _Page] = {
            'POST /v1/completions': self._complete,
            'POST /v1/chat/completions': self._complete_chat,
            'GET /engine/holdings': self._list_holdings,
            'GET /engine/report': self._report,
            'GET /engine/cache-events': self._list_events,
            'POST /engine/kv/export': self._export_kv,
            'POST /engine/kv/import': self._import_kv,
            'POST /engine/orders': self._apply_order,
            'GET /v1/models': self._list_models,
            'GET /standin/runs': self._list_runs,
            'GET /standin/prefills': self._show_prefills,
            'GET /standin/orders': self._list_orders,
            'GET /standin/faults': self._show_faults,
            'PUT /standin/faults': self._put_faults,
        }
        # Endpoints whose last path segment is an id or a handle.
        self._item_routes: Mapping[str, _ItemPage] = {
            'DELETE /engine/requests': self._cancel,
            'GET /engine/kv': self._show_kv,
            'DELETE /engine/kv': self._free_kv,
        }

    @cherrypy.expose
    def default(self, /, *parts: str, **query: str) -> bytes | Iterator[bytes]:
        """Dispatch the current request by its method and path."""
        method = cherrypy.request.method
        page = self._routes.get('{0} /{1}'.format(method, '/'.join(parts)))
        if page:
            return page()
        collection = '{0} /{1}'.format(method, '/'.join(parts[:-1]))
        item_page = self._item_routes.get(collection)
        if item_page:
            return item_page(parts[-1])
        return answer_error(404, 'no such page')

    def _complete(self) -> bytes | Iterator[bytes]:
        return self._completions.complete('/v1/completions')

    def _complete_chat(self) -> bytes | Iterator[bytes]:
        return self._completions.complete('/v1/chat/completions')

    def _cancel(self, attempt: str) -> bytes:
        if self._runner.cancel(attempt):
            return answer_json({})
        return answer_error(404, 'no such request')

    def _list_holdings(self) -> bytes:
        return answer_json(self._runner.list_holdings())

    def _report(self) -> bytes:
        return answer_json(self._runner.report())

    def _list_events(self) -> bytes:
        try:
            after = int(cherrypy.request.params.get('after', 0))
        except ValueError:
            return answer_error(400, 'after must be a number')
        return answer_json(self._runner.list_events(after))

    def _export_kv(self) -> bytes:
        decoded = decode_body(ExportBody)
        exported = decoded.and_then(
            lambda body: self._runner.export_kv(body.attempt),
        )
        return answer_result(exported.map(_to_handle))

    def _import_kv(self) -> bytes:
        decoded = decode_body(KvSource)
        result = decoded.and_then(self._import_record)
        return answer_result(result.map(_to_handle))

    def _import_record(self, wanted: KvSource) -> Result[str, Refusal]:
        fetched = fetch_record(wanted.source, wanted.handle)
        if isinstance(fetched, Err):
            return fetched
        record = fetched.ok_value
        imported = self._runner.import_kv(record)
        if isinstance(imported, Ok):
            tokens_per_s = self._settings.kv_import_tokens_per_s
            duration_s = (
                record.tokens / tokens_per_s / self._settings.time_scale
            )
            self._runner.is_stopped.wait(duration_s)
        return imported.map(lambda _: wanted.handle)

    def _show_kv(self, handle: str) -> bytes:
        record = self._runner.find_kv(handle)
        if record is None:
            return answer_error(404, 'no such handle')
        return answer_json(record)

    def _free_kv(self, handle: str) -> bytes:
        if self._runner.release_kv(handle):
            return answer_json({})
        return answer_error(404, 'no such handle')

    def _apply_order(self) -> bytes:
        result = decode_body(EngineOrder).and_then(self._orders.apply_order)
        return answer_result(result.map(lambda _: {}))

    def _list_models(self) -> bytes:
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': ''}
            for name in self._orders.list_models()
        ]
        return answer_json({'object': 'list', 'data': models})

    def _list_orders(self) -> bytes:
        return answer_json(self._orders.to_document())

    def _list_runs(self) -> bytes:
        return answer_json(self._completions.runs.to_document())

    def _show_prefills(self) -> bytes:
        return answer_json(self._runner.count_prefills())

    def _show_faults(self) -> bytes:
        return answer_json(self._runner.faults.current)

    def _put_faults(self) -> bytes:
        with self._runner.lock:
            result = self._runner.faults.replace_from_json(read_body())
        if isinstance(result, Err):
            return answer_error(400, result.err_value)
        return answer_json(result.ok_value)


def decode_body(body_type: type[_Body]) -> Result[_Body, Refusal]:
    """Decode the body of the current request; refuse with 400 if invalid."""
    try:
        return Ok(msgspec.json.decode(read_body(), type=body_type))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(Refusal(400, str(exc)))


def answer_result(result: Result[_Body, Refusal]) -> bytes:
    """Respond with the document in `result`, or with its refusal."""
    if isinstance(result, Ok):
        return answer_json(result.ok_value)
    refusal = result.err_value
    return answer_error(refusal.status, refusal.detail, refusal.retry_after_s)


def _to_handle(handle: str) -> Mapping[str, str]:
    return {'handle': handle}
