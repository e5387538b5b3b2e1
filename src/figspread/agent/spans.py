"""KV cache reservations for spans: prompts larger than one engine."""

from typing import Final, Protocol

import msgspec

from figspread.clock import Clock
from figspread.ids import AttemptId, SpanId
from figspread.inner.messages import Load, Reserve, Reserved

# The delay after which a refused span should ask again.
RETRY_AFTER_MS: Final = 200
# How long a span waits before memory is held back for it.
HOLD_AFTER_S: Final = 1.0
# How long a waiting span may go without asking before it is dropped.
WAITING_TIMEOUT_S: Final = 3.0
# Bounds the time that a reservation lasts without a renewal.
MAX_RESERVATION_MS: Final = 60_000
_MS_PER_S: Final = 1000
_NO_SPAN: Final = SpanId('')


class KvMemory(Protocol):
    """The KV cache of the engine, as the queue accounts for it."""

    def set_reserved_kv_tokens(self, kv_tokens: int) -> None:
        """Set how many KV tokens jobs of the queue can't use.

        They are reserved for spans or held back for a waiting span. Replaces
        the earlier value.
        """

    def load(self) -> Load:
        """Return the queued and running work and the free KV tokens."""


class _Reservation(msgspec.Struct):
    """The KV tokens of a granted span, until a time on the clock."""

    tokens: int
    expires_at: float
    attempts: frozenset[AttemptId] = frozenset()


class _WaitingSpan(msgspec.Struct):
    """A refused span, with the times of its first and last request."""

    tokens: int
    first_asked_at: float
    last_asked_at: float


_EMPTY_RESERVATION: Final = _Reservation(0, 0)


class SpanReservations:
    """The reservations of one engine; each is released or expires.

    A span keeps its reservation for as long as it renews it. Meanwhile it owns
    the KV handles that its attempts left on the engine.

    A refused span may ask again. For the one that has waited longest, once
    it has waited `HOLD_AFTER_S` seconds, memory is held back as it becomes
    free, so that neither short prompts nor later spans can starve it.
    """

    def __init__(self, memory: KvMemory, clock: Clock) -> None:
        """Start without reservations."""
        self._memory = memory
        self._clock = clock
        self._reservations: dict[SpanId, _Reservation] = {}
        self._waiting: dict[SpanId, _WaitingSpan] = {}

    def reserve(self, request: Reserve) -> Reserved:
        """Grant or renew a reservation, or refuse it without waiting."""
        self.expire()
        reservation = self._reservations.get(request.span, _EMPTY_RESERVATION)
        extra = request.tokens - reservation.tokens
        if request.tokens < 0 or extra > self._free_tokens_for(request.span):
            self._add_waiting(request)
            return Reserved(
                request.span,
                granted=False,
                retry_after_ms=RETRY_AFTER_MS,
            )
        self._waiting.pop(request.span, None)
        duration_ms = max(0, min(request.expires_in_ms, MAX_RESERVATION_MS))
        self._reservations[request.span] = _Reservation(
            request.tokens,
            self._clock.now() + duration_ms / _MS_PER_S,
            reservation.attempts,
        )
        self._update_reserved()
        return Reserved(request.span, granted=True)

    def release(self, span: SpanId) -> None:
        """Release the reservation of `span`; remove it from the waiting spans.

        A second call does nothing.
        """
        self._reservations.pop(span, None)
        self._waiting.pop(span, None)
        self._update_reserved()

    def expire(self) -> None:
        """Release expired reservations and spans that stopped asking."""
        now = self._clock.now()
        for name, waiting in tuple(self._waiting.items()):
            if now - waiting.last_asked_at > WAITING_TIMEOUT_S:
                self.release(name)
        for span, reservation in tuple(self._reservations.items()):
            if reservation.expires_at <= now:
                self.release(span)

    def has_reservation(self, span: SpanId) -> bool:
        """Tell whether `span` has a reservation; always true without a span."""
        self.expire()
        return span == _NO_SPAN or span in self._reservations

    def add_attempt(self, span: SpanId, attempt: AttemptId) -> None:
        """Record that `attempt` belongs to `span`."""
        reservation = self._reservations.get(span)
        if reservation is not None:
            reservation.attempts |= {attempt}

    def owns_handle(self, handle: str) -> bool:
        """Tell whether a KV handle belongs to an attempt of a reserved span.

        The handle of an export ends with the id of its attempt, because
        engines name it after the request.
        """
        self.expire()
        return any(
            handle.endswith(attempt)
            for reservation in self._reservations.values()
            for attempt in reservation.attempts
        )

    def _add_waiting(self, request: Reserve) -> None:
        if request.tokens < 0:
            return
        now = self._clock.now()
        waiting = self._waiting.setdefault(
            request.span,
            _WaitingSpan(request.tokens, now, now),
        )
        waiting.tokens = request.tokens
        waiting.last_asked_at = now
        self._update_reserved()

    def _free_tokens_for(self, span: SpanId) -> int:
        """Return the free tokens, including those held back for `span`."""
        self._memory.set_reserved_kv_tokens(
            self._reserved_tokens() + self._held_back_tokens(span)
        )
        free = self._memory.load().free_kv_tokens
        self._update_reserved()
        return free

    def _held_back_tokens(self, span: SpanId) -> int:
        """Return the tokens held back for the span that has waited longest.

        0 if that is `span` itself.
        """
        now = self._clock.now()
        first = next(iter(self._waiting), None)
        if first is None or first == span:
            return 0
        waiting = self._waiting[first]
        return (
            waiting.tokens
            if now - waiting.first_asked_at >= HOLD_AFTER_S
            else 0
        )

    def _reserved_tokens(self) -> int:
        return sum(
            reservation.tokens for reservation in self._reservations.values()
        )

    def _update_reserved(self) -> None:
        self._memory.set_reserved_kv_tokens(
            self._reserved_tokens() + self._held_back_tokens(_NO_SPAN)
        )
