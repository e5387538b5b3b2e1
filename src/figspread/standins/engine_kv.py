"""KV handles of a stand-in engine, through which a span shares KV caches.

A handle refers to the KV cache of one segment of a prompt. Its record has the
digest of the prompt up to the end of the segment, and the handles before it.
A request with `kv_context` must list the whole chain of handles in order. Its
answer is computed from the joined digest, so it equals the answer of a single
engine that could hold the whole prompt. The handles stay on their engines:
only the request's own segment takes memory here. Their records are read once,
when the request starts.

An import copies a record, takes as much memory as the original and lasts
`tokens / kv_import_tokens_per_s` seconds.
"""

from collections.abc import Callable, Sequence
from typing import Final, TypeAlias
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from urllib3.exceptions import HTTPError

from figspread.http.client import ClientPool
from figspread.standins.engine_requests import Refusal
from figspread.standins.engine_text import KvSource, PromptDigest

_FETCH_TIMEOUT_S: Final = 2.0


class KvRecord(msgspec.Struct, frozen=True):
    """A handle, the tokens of its segment and the digest up to its end.

    `context` has the handles before it. Engines exchange records as JSON.
    """

    handle: str
    tokens: int
    digest: PromptDigest
    context: tuple[str, ...] = ()


FetchRecord: TypeAlias = Callable[[str, str], Result[KvRecord, Refusal]]


def fetch_record(source: str, handle: str) -> Result[KvRecord, Refusal]:
    """Fetch the record of `handle` from the engine at the URL `source`."""
    url = '{0}/engine/kv/{1}'.format(source, quote(handle, safe=''))
    try:
        with ClientPool(retries=False, timeout=_FETCH_TIMEOUT_S) as pool:
            response = pool.request('GET', url)
    except (HTTPError, ValueError) as exc:
        return Err(Refusal(502, 'the source does not answer: {0}'.format(exc)))
    if response.status != 200:
        return Err(Refusal(404, 'the source does not hold the handle'))
    try:
        return Ok(msgspec.json.decode(response.data, type=KvRecord))
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return Err(Refusal(502, 'the source gave no record'))


def digest_context(
    chain: Sequence[KvSource],
    fetch: FetchRecord,
) -> Result[PromptDigest, Refusal]:
    """Return the digest of the prompt that `chain` covers.

    Refuse with 409 if a record is missing or the chain is out of order.
    """
    digest = PromptDigest()
    handles: tuple[str, ...] = ()
    for link in chain:
        fetched = fetch(link.source, link.handle)
        if isinstance(fetched, Err):
            return Err(Refusal(409, fetched.err_value.detail))
        record = fetched.ok_value
        if record.context != handles:
            return Err(Refusal(409, 'kv_context is not the chain of handles'))
        handles = (*handles, link.handle)
        digest = record.digest
    return Ok(digest)
