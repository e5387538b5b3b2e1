"""How a stand-in engine answers completion requests over HTTP.

`X-Request-Id` names the request, `X-Priority` its priority (a larger number
goes first) and `X-Resume-From` how many tokens the caller has already. A
stream begins with a comment as soon as the request is taken, and while no
token comes it carries a comment each `keep_alive_s`. A caller that leaves does
not cancel its request, which runs to its end.
"""

import queue
import uuid
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import cherrypy
import msgspec
from result import Err, Ok, Result

from figspread.standins.engine_cache import list_prefixes
from figspread.standins.engine_kv import KvRecord, fetch_record, join_context
from figspread.standins.engine_memory import name_handle
from figspread.standins.engine_orders import OrderDesk
from figspread.standins.engine_requests import Progress, Refusal, RunRequest
from figspread.standins.engine_runner import EngineRunner, Stream
from figspread.standins.engine_settings import EngineSettings
from figspread.standins.engine_text import (
    PromptDigest,
    Question,
    Writer,
    count_tokens,
    digest_prompt,
    read_question,
)
from figspread.standins.faults import EngineFaults
from figspread.standins.http import (
    Connection,
    answer_error,
    read_body,
    read_headers,
)
from figspread.standins.runs import RunRecord

_COMMENT: Final = b': working\n\n'


class Task(msgspec.Struct, frozen=True):
    """A request that the engine runs and what its handler needs."""

    asked: RunRequest
    question: Question
    writer: Writer
    stream: Stream
    faults: EngineFaults


class CompletionPages:
    """Runs completions; a whole answer is built before a plain reply."""

    def __init__(
        self,
        runner: EngineRunner,
        settings: EngineSettings,
        runs: RunRecord,
        orders: OrderDesk,
        die: Callable[[], None],
    ) -> None:
        """Run requests on `runner`; `die` ends the engine at once."""
        self._runner = runner
        self._orders = orders
        self._settings = settings
        self.runs = runs
        self._die = die

    def complete(self, path: str) -> bytes | Iterator[bytes]:
        """Answer the completion request in hand."""
        asked = read_question(path, read_body())
        if isinstance(asked, Err):
            return answer_error(400, asked.err_value)
        taken = self._take(asked.ok_value)
        if isinstance(taken, Err):
            refusal = taken.err_value
            return answer_error(
                refusal.status,
                refusal.detail,
                refusal.retry_after_s / self._settings.time_scale,
            )
        task = taken.ok_value
        if task.faults.silent and not task.asked.is_given:
            # The head of an answer goes out with its first bytes.
            self._wait_for_cancel(task.stream)
            return answer_error(500, 'cancelled')
        if task.question.streams or task.question.prefill_only:
            cherrypy.response.headers['Content-Type'] = 'text/event-stream'
            return self._write_events(task, Connection())
        return self._write_whole(task)

    def _take(self, question: Question) -> Result[Task, Refusal]:
        with self._runner.lock:
            faults = self._runner.faults.hit()
        if faults.refuse:
            return Err(Refusal(503, 'refused by a fault switch', 1))
        if question.model not in self._orders.list_models():
            return Err(Refusal(404, 'the model is not loaded'))
        marker = faults.die_on_marker.encode()
        if marker and marker in question.prompt:
            self._record(question)
            Connection().cut()
            self._die()
            return Err(Refusal(500, 'dead'))
        asked = _read_run_request(question, faults)
        if isinstance(asked, Err):
            return asked
        context = join_context(question.kv_context, self._fetch)
        if isinstance(context, Err):
            return context
        digest = context.ok_value.join(digest_prompt(question.prompt))
        return self._start(asked.ok_value, question, digest, faults)

    def _start(
        self,
        asked: RunRequest,
        question: Question,
        digest: PromptDigest,
        faults: EngineFaults,
    ) -> Result[Task, Refusal]:
        handles = tuple(link.handle for link in question.kv_context)
        record = KvRecord(
            name_handle(asked.attempt),
            asked.prompt_tokens,
            digest,
            handles,
        )
        # The keys of cached prefixes are those of whole prompts.
        prefixes = () if handles else self._list_prefixes(question)
        writer = Writer(asked.attempt, question, digest)
        if asked.is_given:
            return Ok(
                Task(asked, question, writer, queue.SimpleQueue(), faults)
            )
        taken = self._runner.submit(asked, prefixes, record)
        if isinstance(taken, Err):
            return taken
        self._record(question)
        return Ok(Task(asked, question, writer, taken.ok_value, faults))

    def _record(self, question: Question) -> None:
        self.runs.add(read_headers(), question.body_digest)

    def _list_prefixes(self, question: Question) -> Sequence[str]:
        return list_prefixes(
            question.prompt,
            self._settings.cache_block_tokens,
        )

    def _fetch(self, source: str, handle: str) -> Result[KvRecord, Refusal]:
        own = self._runner.find_kv(handle)
        return Ok(own) if own else fetch_record(source, handle)

    def _write_events(
        self,
        task: Task,
        connection: Connection,
    ) -> Iterator[bytes]:
        yield _COMMENT
        if task.asked.is_given:
            yield from task.writer.last()
            return
        given = 0
        cut_after = task.faults.cut_after_tokens
        for batch in self._read(task):
            if cut_after is not None:
                batch = batch[: cut_after - given]
            given += len(batch)
            if batch:
                yield b''.join(_write(task, batch))
            elif given != cut_after:
                yield _COMMENT
            if given == cut_after:
                connection.cut()
                return

    def _write_whole(self, task: Task) -> bytes:
        indexes = [one.index for batch in self._read(task) for one in batch]
        if len(indexes) < task.asked.end_token - task.asked.first_token:
            return answer_error(500, 'cancelled')
        cherrypy.response.headers['Content-Type'] = 'application/json'
        return task.writer.whole(indexes)

    def _read(self, task: Task) -> Iterator[list[Progress]]:
        """Give what came since the last time; empty after a quiet while."""
        is_last = task.asked.is_given
        given = 0
        while not is_last:
            batch = self._wait(task, given)
            if batch is None:
                return
            given += len(batch)
            is_last = any(one.is_last for one in batch)
            yield batch

    def _wait(self, task: Task, given: int) -> list[Progress] | None:
        is_silent = given == task.faults.silent_after_tokens
        timeout = None if is_silent else self._settings.keep_alive_s
        try:
            batch = [task.stream.get(timeout=timeout)]
        except queue.Empty:
            return []
        while not task.stream.empty():
            batch.append(task.stream.get())
        tokens = [one for one in batch if one]
        return tokens or None

    def _wait_for_cancel(self, stream: Stream) -> None:
        # Only `None`, which ends a stream, can come from a stuck request.
        stream.get()


def _read_run_request(
    question: Question,
    faults: EngineFaults,
) -> Result[RunRequest, Refusal]:
    headers = cherrypy.request.headers
    try:
        priority = int(headers.get('X-Priority', 0))
        resume_from = int(headers.get('X-Resume-From', 0))
    except ValueError:
        return Err(Refusal(400, 'X-Priority and X-Resume-From are numbers'))
    end = 0 if question.prefill_only else question.tokens
    if not 0 <= resume_from <= end:
        return Err(Refusal(400, 'X-Resume-From is beyond the answer'))
    stuck_after = 0 if faults.silent else faults.silent_after_tokens
    return Ok(
        RunRequest(
            attempt=headers.get('X-Request-Id') or uuid.uuid4().hex,
            prompt_tokens=count_tokens(len(question.prompt)),
            first_token=resume_from,
            end_token=end,
            priority=priority,
            stuck_after=stuck_after,
        ),
    )


def _write(task: Task, batch: list[Progress]) -> Iterator[bytes]:
    for progress in batch:
        if progress.index < 0:
            yield from task.writer.handle(name_handle(progress.attempt))
            return
        yield task.writer.token(progress.index)
        if progress.is_last:
            yield from task.writer.last()
