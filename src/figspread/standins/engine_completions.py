"""The completion endpoints of a stand-in engine.

`X-Request-Id` identifies the request, `X-Priority` sets its priority (larger
numbers go first) and `X-Resume-From` is the number of tokens that the caller
already has. A stream starts with a comment as soon as the request is accepted,
and has a comment every `keep_alive_s` seconds while no token is produced. The
fault `silent` suppresses the stream, and `silent_after_tokens` the comments
after that many tokens. A caller that disconnects doesn't cancel its request,
which runs to its end.
"""

import queue
import uuid
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import cherrypy
import msgspec
from result import Err, Ok, Result

from figspread.standins.engine_cache import list_prefix_keys
from figspread.standins.engine_kv import KvRecord, digest_context, fetch_record
from figspread.standins.engine_memory import make_handle
from figspread.standins.engine_orders import OrderExecutor
from figspread.standins.engine_requests import Progress, Refusal, RunRequest
from figspread.standins.engine_runner import EngineRunner, Stream
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_text import (
    CompletionRequest,
    PromptDigest,
    ResponseWriter,
    count_tokens,
    digest_prompt,
    parse_completion,
)
from figspread.standins.faults import EngineFaults
from figspread.standins.http import (
    RequestConnection,
    answer_error,
    read_body,
    read_headers,
)
from figspread.standins.run_record import RunRecord

_KEEP_ALIVE_COMMENT: Final = b': working\n\n'


class CompletionTask(msgspec.Struct, frozen=True):
    """An accepted request with the state that its HTTP handler needs."""

    run_request: RunRequest
    request: CompletionRequest
    writer: ResponseWriter
    stream: Stream
    faults: EngineFaults


class CompletionPages:
    """Runs completions, as event streams or as single JSON documents."""

    def __init__(
        self,
        runner: EngineRunner,
        settings: EngineSettings,
        runs: RunRecord,
        orders: OrderExecutor,
        on_death: Callable[[], None],
    ) -> None:
        """Run requests on `runner`; `on_death` ends the engine immediately."""
        self._runner = runner
        self._orders = orders
        self._settings = settings
        self.runs = runs
        self._on_death = on_death

    def complete(self, path: str) -> bytes | Iterator[bytes]:
        """Answer the current request, a completion on `path`."""
        parsed = parse_completion(path, read_body())
        if isinstance(parsed, Err):
            return answer_error(400, parsed.err_value)
        accepted = self._accept_request(parsed.ok_value)
        if isinstance(accepted, Err):
            refusal = accepted.err_value
            return answer_error(
                refusal.status,
                refusal.detail,
                refusal.retry_after_s / self._settings.time_scale,
            )
        task = accepted.ok_value
        if task.faults.silent and not task.run_request.is_already_answered:
            # The response head is sent with the first body bytes, so a silent
            # request must not start to stream.
            self._wait_for_cancel(task.stream)
            return answer_error(500, 'cancelled')
        if task.request.is_stream or task.request.prefill_only:
            cherrypy.response.headers['Content-Type'] = 'text/event-stream'
            return self._stream_events(task, RequestConnection())
        return self._build_response(task)

    def _accept_request(
        self, request: CompletionRequest
    ) -> Result[CompletionTask, Refusal]:
        with self._runner.lock:
            faults = self._runner.faults.select_for_request()
        if faults.refuse:
            return Err(Refusal(503, 'refused by a fault switch', 1))
        if request.model not in self._orders.list_models():
            return Err(Refusal(404, 'the model is not loaded'))
        marker = faults.die_on_marker.encode()
        if marker and marker in request.prompt:
            self._record_run(request)
            RequestConnection().abort()
            self._on_death()
            return Err(Refusal(500, 'dead'))
        built = _build_run_request(request, faults)
        if isinstance(built, Err):
            return built
        context_digest = digest_context(
            request.kv_context, self._fetch_kv_record
        )
        if isinstance(context_digest, Err):
            return context_digest
        digest = context_digest.ok_value.join(digest_prompt(request.prompt))
        return self._start_run(built.ok_value, request, digest, faults)

    def _start_run(
        self,
        run_request: RunRequest,
        request: CompletionRequest,
        digest: PromptDigest,
        faults: EngineFaults,
    ) -> Result[CompletionTask, Refusal]:
        handles = tuple(link.handle for link in request.kv_context)
        record = KvRecord(
            make_handle(run_request.attempt),
            run_request.prompt_tokens,
            digest,
            handles,
        )
        # Prefix keys cover the prompt from its start, and a request with a
        # KV context has only a later segment of it.
        prefixes = () if handles else self._list_prefix_keys(request)
        writer = ResponseWriter(run_request.attempt, request, digest)
        if run_request.is_already_answered:
            return Ok(
                CompletionTask(
                    run_request, request, writer, queue.SimpleQueue(), faults
                )
            )
        submitted = self._runner.submit(run_request, prefixes, record)
        if isinstance(submitted, Err):
            return submitted
        self._record_run(request)
        return Ok(
            CompletionTask(
                run_request, request, writer, submitted.ok_value, faults
            )
        )

    def _record_run(self, request: CompletionRequest) -> None:
        self.runs.add(read_headers(), request.body_digest)

    def _list_prefix_keys(self, request: CompletionRequest) -> Sequence[str]:
        return list_prefix_keys(
            request.prompt,
            self._settings.cache_block_tokens,
        )

    def _fetch_kv_record(
        self, source: str, handle: str
    ) -> Result[KvRecord, Refusal]:
        local_record = self._runner.find_kv(handle)
        return (
            Ok(local_record) if local_record else fetch_record(source, handle)
        )

    def _stream_events(
        self,
        task: CompletionTask,
        connection: RequestConnection,
    ) -> Iterator[bytes]:
        yield _KEEP_ALIVE_COMMENT
        if task.run_request.is_already_answered:
            yield from task.writer.write_closing()
            return
        sent_tokens = 0
        cut_after = task.faults.cut_after_tokens
        for batch in self._read_batches(task):
            if cut_after is not None:
                batch = batch[: cut_after - sent_tokens]
            sent_tokens += len(batch)
            if batch:
                yield b''.join(_encode_batch(task, batch))
            elif sent_tokens != cut_after:
                yield _KEEP_ALIVE_COMMENT
            if sent_tokens == cut_after:
                connection.abort()
                return

    def _build_response(self, task: CompletionTask) -> bytes:
        indexes = [
            progress.index
            for batch in self._read_batches(task)
            for progress in batch
        ]
        if (
            len(indexes)
            < task.run_request.end_token - task.run_request.first_token
        ):
            return answer_error(500, 'cancelled')
        cherrypy.response.headers['Content-Type'] = 'application/json'
        return task.writer.build_document(indexes)

    def _read_batches(self, task: CompletionTask) -> Iterator[list[Progress]]:
        """Yield the progress since the last batch.

        A batch is empty if nothing came for `keep_alive_s` seconds.
        """
        is_last = task.run_request.is_already_answered
        sent_tokens = 0
        while not is_last:
            batch = self._wait_for_batch(task, sent_tokens)
            if batch is None:
                return
            sent_tokens += len(batch)
            is_last = any(progress.is_last for progress in batch)
            yield batch

    def _wait_for_batch(
        self, task: CompletionTask, sent_tokens: int
    ) -> list[Progress] | None:
        is_silent = sent_tokens == task.faults.silent_after_tokens
        timeout = None if is_silent else self._settings.keep_alive_s
        try:
            batch = [task.stream.get(timeout=timeout)]
        except queue.Empty:
            return []
        while not task.stream.empty():
            batch.append(task.stream.get())
        tokens = [progress for progress in batch if progress]
        return tokens or None

    def _wait_for_cancel(self, stream: Stream) -> None:
        # With the fault `silent` the only item is the `None` that the runner
        # puts at a cancel or stop.
        stream.get()


def _build_run_request(
    completion: CompletionRequest,
    faults: EngineFaults,
) -> Result[RunRequest, Refusal]:
    headers = cherrypy.request.headers
    try:
        priority = int(headers.get('X-Priority', 0))
        resume_from = int(headers.get('X-Resume-From', 0))
    except ValueError:
        return Err(Refusal(400, 'X-Priority and X-Resume-From are numbers'))
    end = 0 if completion.prefill_only else completion.output_tokens
    # A negative number gets the same detail as one above `end`.
    if not 0 <= resume_from <= end:
        return Err(Refusal(400, 'X-Resume-From is beyond the answer'))
    stuck_after = 0 if faults.silent else faults.silent_after_tokens
    return Ok(
        RunRequest(
            attempt=headers.get('X-Request-Id') or uuid.uuid4().hex,
            prompt_tokens=count_tokens(len(completion.prompt)),
            first_token=resume_from,
            end_token=end,
            priority=priority,
            stuck_after=stuck_after,
        ),
    )


def _encode_batch(
    task: CompletionTask, batch: list[Progress]
) -> Iterator[bytes]:
    for progress in batch:
        if progress.index < 0:
            yield from task.writer.write_handle(make_handle(progress.attempt))
            return
        yield task.writer.write_token(progress.index)
        if progress.is_last:
            yield from task.writer.write_closing()
