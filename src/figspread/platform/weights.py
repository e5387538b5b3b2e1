"""A client of the weight store that keeps to the store's rate limit."""

import threading
from typing import Final
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from figspread.clock import Clock
from figspread.documents import MalformedDocument, decode_json
from figspread.http.client import ClientPool
from figspread.ids import ModelName
from figspread.platform.calls import HttpCaller, convert_failure
from figspread.platform.types import Unavailable

_OK: Final = 200
_NOT_FOUND: Final = 404


class Weights(msgspec.Struct, frozen=True):
    """Where an engine can load the weights of a model or adapter from."""

    model: ModelName
    version: str
    url: str
    size_bytes: int


class RateLimit(msgspec.Struct, frozen=True):
    """The allowed calls per second and the largest burst, in calls."""

    calls_per_s: float
    burst: int = 1


class TokenBucket:
    """A token bucket that limits the rate of calls; thread-safe."""

    def __init__(self, limit: RateLimit, clock: Clock) -> None:
        """Start with a full bucket."""
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = float(limit.burst)
        self._refilled_at = clock.now()
        self._blocked_until = self._refilled_at

    def try_take(self) -> float:
        """Take a token and return 0, or return the seconds to wait for it."""
        with self._lock:
            now = self._clock.now()
            if now < self._blocked_until:
                return self._blocked_until - now
            self._refill(now)
            if self._tokens < 1:
                return (1 - self._tokens) / self._limit.calls_per_s
            self._tokens -= 1
            return 0

    def block(self, seconds: float) -> None:
        """Give out no token for `seconds`.

        At most one token is kept, so calls resume without a burst.
        """
        with self._lock:
            now = self._clock.now()
            self._blocked_until = max(self._blocked_until, now + seconds)
            self._tokens = min(self._tokens, 1)
            self._refilled_at = self._blocked_until

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._limit.calls_per_s
        self._tokens = min(self._tokens + gained, self._limit.burst)
        self._refilled_at = now


class HttpWeightStore:
    """The weight store over HTTP.

    A call over the rate limit is not sent; it returns `Unavailable` with the
    seconds to wait.
    """

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float,
        pool: ClientPool,
        bucket: TokenBucket,
    ) -> None:
        """Set up a client of the store at `base_url`."""
        self._caller = HttpCaller(base_url, timeout_s=timeout_s, pool=pool)
        self._bucket = bucket

    def find(
        self,
        model: ModelName,
        version: str,
    ) -> Result[Weights | None, Unavailable]:
        """Return the location of the weights, or `None` if there are none."""
        wait_s = self._bucket.try_take()
        if wait_s:
            return Err(
                Unavailable(
                    'the rate limit of the weight store is reached', wait_s
                )
            )
        reply = self._caller.call('GET', _build_path(model, version))
        if isinstance(reply, Err):
            problem = convert_failure(reply)
            self._bucket.block(problem.retry_after_s)
            return Err(problem)
        if reply.ok_value.status == _OK:
            return _decode_weights(reply.ok_value.body)
        if reply.ok_value.status == _NOT_FOUND:
            return Ok(None)
        return Err(convert_failure(reply))


def _build_path(model: ModelName, version: str) -> str:
    quoted = (quote(part, safe='') for part in (model, version))
    return '/weights/{0}'.format('/'.join(quoted))


def _decode_weights(body: bytes) -> Result[Weights | None, Unavailable]:
    try:
        return Ok(decode_json(body, Weights))
    except MalformedDocument as exc:
        return Err(
            Unavailable('the reply does not describe weights: {0}'.format(exc))
        )
