"""Claims on idempotency keys, so that a request runs at most once.

An entry claims the key in the Object API before it dispatches anything, and
records the outcome with the claim afterwards.
"""

from collections.abc import Mapping
from typing import Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from figspread.clock import Deadline
from figspread.duties.records import (
    ClaimLocation,
    ClaimRecord,
    decode_claim,
    locate_claim,
    write_claim,
)
from figspread.ids import AttemptId, PeerId, WorkspaceId
from figspread.outcome import NotRun, Outcome, Unknown, UnknownReason
from figspread.platform.types import (
    Conflict,
    ObjectStore,
    StoredObject,
    Unavailable,
    Unclear,
    Written,
)

# How long a claim is kept after `run_until`, for resends.
RETENTION_S: Final = 86_400.0
# Largest answer, body and headers together, that is stored with a claim.
ANSWER_LIMIT_BYTES: Final = 262_144
MAX_WRITE_ATTEMPTS: Final = 3


class ClaimRequest(msgspec.Struct, frozen=True):
    """A request to claim an `Idempotency-Key` for one attempt.

    `run_until` is in seconds of wall clock: by then the claimant has its
    outcome. `retention_s` is how long the claim is kept after that.
    `body_digest` comes from `digest_request` and so covers the method, service
    and path as well as the body.
    """

    workspace: WorkspaceId
    key: str
    body_digest: str
    attempt: AttemptId
    claimant: PeerId
    run_until: float
    retention_s: float = RETENTION_S


class Claimed(msgspec.Struct, frozen=True):
    """The caller holds the claim: it alone may dispatch, and only once."""

    place: ClaimLocation
    record: ClaimRecord
    version: int


class AlreadyAnswered(msgspec.Struct, frozen=True):
    """The request has already been claimed; `record` has its outcome."""

    record: ClaimRecord


class InProgress(msgspec.Struct, frozen=True):
    """Another attempt has claimed the key and has no outcome yet.

    It may run until `record.run_until`. Its claimant may be the same entry.
    """

    record: ClaimRecord


class KeyReused(msgspec.Struct, frozen=True):
    """The key was claimed for a request with a different digest.

    The method, service, path or body differs.
    """


class ClaimUnclear(msgspec.Struct, frozen=True):
    """It is unknown whether the request was claimed; do not dispatch.

    The reply to a write was lost, or the stored claim is damaged.
    """

    detail: str


class ClaimUnavailable(msgspec.Struct, frozen=True):
    """No claim was written for this attempt; do not dispatch."""

    detail: str
    retry_after_s: float = 1.0


ClaimOutcome: TypeAlias = (
    Claimed
    | AlreadyAnswered
    | InProgress
    | KeyReused
    | ClaimUnclear
    | ClaimUnavailable
)


def claim(
    store: ObjectStore,
    request: ClaimRequest,
    *,
    now: float,
    deadline: Deadline,
) -> ClaimOutcome:
    """Claim the request's key, or return the state of the existing claim.

    `now` is in seconds of wall clock. A key whose request was recorded as not
    run may be claimed again. No write is retried after `deadline`.
    """
    place = locate_claim(request.workspace, request.key)
    record = ClaimRecord(
        workspace=request.workspace,
        body_digest=request.body_digest,
        attempt=request.attempt,
        claimant=request.claimant,
        run_until=request.run_until,
        keep_until=max(now, request.run_until) + request.retention_s,
    )
    claimable = _Claimable(0)
    is_unclear = False
    for _ in range(MAX_WRITE_ATTEMPTS):
        match write_claim(store, place, record, version=claimable.version):
            case Written(version):
                return Claimed(place, record, version)
            case Unavailable(detail, retry_after_s) if not is_unclear:
                return ClaimUnavailable(detail, retry_after_s)
            case Unclear():
                is_unclear = True
        claim_state = _check_stored_claim(store, place, record, claimable, now)
        if not isinstance(claim_state, _Claimable):
            return claim_state
        claimable = claim_state
        if deadline.is_past():
            break
    if is_unclear:
        return ClaimUnclear('the answer of the store was lost')
    # Also reached if the stored claim was read and allows another write, but
    # each write met a conflict until the attempts were used up or the deadline
    # passed.
    return ClaimUnavailable('the claim cannot be read')


class _Claimable(msgspec.Struct, frozen=True):
    """The key can be claimed by a conditional write at `version`.

    Version 0 means that there is no record yet.
    """

    version: int


_ClaimState: TypeAlias = (
    Claimed
    | AlreadyAnswered
    | InProgress
    | KeyReused
    | ClaimUnclear
    | _Claimable
)


def _check_stored_claim(
    store: ObjectStore,
    place: ClaimLocation,
    own: ClaimRecord,
    claimable: _Claimable,
    now: float,
) -> _ClaimState:
    # If the record can't be read, the same conditional write can be retried
    # safely.
    found = store.get(place.kind, place.name)
    if isinstance(found, Err):
        return claimable
    return _classify_stored_claim(found.ok_value, place, own, now)


def _classify_stored_claim(
    stored: StoredObject | None,
    place: ClaimLocation,
    own: ClaimRecord,
    now: float,
) -> _ClaimState:
    if stored is None:
        return _Claimable(0)
    record = decode_claim(stored.body)
    if record is None:
        return ClaimUnclear('the claim is damaged')
    if record.body_digest != own.body_digest:
        return KeyReused()
    if isinstance(record.outcome, NotRun):
        return _Claimable(stored.version)
    if record.outcome is None and record.attempt == own.attempt:
        return Claimed(place, record, stored.version)
    return _classify_other_attempt(record, now)


def _classify_other_attempt(
    record: ClaimRecord,
    now: float,
) -> AlreadyAnswered | InProgress:
    if record.outcome is not None:
        return AlreadyAnswered(record)
    if now <= record.run_until:
        return InProgress(record)
    lost = Unknown(UnknownReason.CLAIMANT_LOST)
    return AlreadyAnswered(msgspec.structs.replace(record, outcome=lost))


class ClaimAnswer(msgspec.Struct, frozen=True):
    """The answer that a resend of the request receives."""

    outcome: Outcome
    status: int = 0
    headers: Mapping[str, str] = {}
    answer: bytes = b''


def record_answer(
    store: ObjectStore,
    claimed: Claimed,
    answer: ClaimAnswer,
) -> Result[int, str]:
    """Store the outcome with the claim and return the record's new version.

    An answer over `ANSWER_LIMIT_BYTES` is not stored, but its outcome is.
    After an error the record may or may not have been written; if it was not,
    a resend gets `Unknown` once `run_until` has passed.
    """
    is_kept = _measure_answer_bytes(answer) <= ANSWER_LIMIT_BYTES
    record = msgspec.structs.replace(
        claimed.record,
        outcome=answer.outcome,
        status=answer.status,
        headers=answer.headers if is_kept else {},
        answer=answer.answer if is_kept else b'',
        has_answer=is_kept,
    )
    detail = ''
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = write_claim(
            store,
            claimed.place,
            record,
            version=claimed.version,
        )
        match written:
            case Written(version):
                return Ok(version)
            case Unavailable(detail) | Unclear(detail):
                continue
            case Conflict():
                return _confirm_recorded(store, claimed.place, record)
    return Err(detail)


def _measure_answer_bytes(answer: ClaimAnswer) -> int:
    lengths = (len(name) + len(text) for name, text in answer.headers.items())
    return len(answer.answer) + sum(lengths)


def _confirm_recorded(
    store: ObjectStore,
    place: ClaimLocation,
    record: ClaimRecord,
) -> Result[int, str]:
    match store.get(place.kind, place.name):
        case Ok(StoredObject(body=body, version=version)):
            if decode_claim(body) == record:
                return Ok(version)
            return Err('the claim was changed by another')
        case Err(Unavailable(detail)):
            return Err(detail)
    return Err('the claim is gone')
