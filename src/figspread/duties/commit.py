"""Atomic commit of a release note as the fleet's next configuration."""

from typing import Final, TypeAlias

import msgspec
import xxhash
from result import Err, Ok

from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.duties.head import (
    DOCUMENT_KIND,
    HEAD_KIND,
    HEAD_NAME,
    NOTE_KIND,
    AppliedNote,
    NoteText,
    VersionedHead,
    encode_head,
    name_document,
    read_head,
)
from figspread.platform.objects import VALUE_LIMIT_BYTES
from figspread.platform.types import (
    Conflict,
    ObjectStore,
    Unavailable,
    Unclear,
    WriteOutcome,
    Written,
)

MAX_HEAD_WRITE_ATTEMPTS: Final = 3


class Committed(msgspec.Struct, frozen=True):
    """The note is applied as the configuration with this number."""

    number: int


class CommitConflict(msgspec.Struct, frozen=True):
    """Nothing was applied: the note conflicts with applied notes.

    `number` is the configuration in force. `notes` are the notes applied
    since the one that this note was written against, or the applied notes
    with the same id.
    """

    number: int
    notes: tuple[AppliedNote, ...] = ()


class CommitUnclear(msgspec.Struct, frozen=True):
    """The note may have been applied; committing it again is safe."""

    detail: str


class CommitUnavailable(msgspec.Struct, frozen=True):
    """This call applied nothing: the store was down or refused it."""

    detail: str
    retry_after_s: float = 1.0


class CommitTooLarge(msgspec.Struct, frozen=True):
    """Nothing was applied: the configuration exceeds the store's limit."""

    size_bytes: int
    limit_bytes: int


CommitOutcome: TypeAlias = (
    Committed
    | CommitConflict
    | CommitUnclear
    | CommitUnavailable
    | CommitTooLarge
)


def commit(
    store: ObjectStore,
    fleet: Fleet,
    *,
    note: NoteText,
    against: int,
) -> CommitOutcome:
    """Commit `fleet` as the configuration with number `against` + 1.

    The document and the note's text are written first. They become visible
    only when one conditional update of the head refers to them. A note whose
    document is already in the head's history gets its earlier outcome again.
    A note that shares only its id with an applied note gets `CommitConflict`.
    """
    numbered = msgspec.structs.replace(
        fleet,
        number=against + 1,
        note=note.note,
    )
    document = dump_fleet(numbered)
    text = msgspec.json.encode(note)
    mark = AppliedNote(
        note.note,
        numbered.number,
        name_document(note.note, numbered.number, _digest_body(document)),
        '{0}-{1}'.format(note.note, _digest_body(text)),
    )
    match read_head(store):
        case Err(Unavailable(detail, retry_after_s)):
            return CommitUnavailable(detail, retry_after_s)
        case Ok(head):
            known_outcome = _find_known_outcome(head, mark)
    if known_outcome is not None:
        return known_outcome
    if len(document) > VALUE_LIMIT_BYTES:
        return CommitTooLarge(len(document), VALUE_LIMIT_BYTES)
    problem = _create_if_absent(
        store, DOCUMENT_KIND, mark.document, document
    ) or _create_if_absent(
        store,
        NOTE_KIND,
        mark.text,
        text,
    )
    if problem is not None:
        return CommitUnavailable(problem.detail, problem.retry_after_s)
    return _update_head(store, head, mark)


def _find_known_outcome(
    head: VersionedHead, own: AppliedNote
) -> Committed | CommitConflict | None:
    against = own.number - 1
    history = head.head.history
    if any(mark.document == own.document for mark in history):
        return Committed(own.number)
    same_id = [mark for mark in history if mark.note == own.note]
    if head.head.number == against and not same_id:
        return None
    later = [mark for mark in history if mark.number > against]
    return CommitConflict(head.head.number, tuple(later or same_id))


def _digest_body(body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(body)


def _create_if_absent(
    store: ObjectStore,
    kind: str,
    name: str,
    body: bytes,
) -> Unavailable | None:
    match store.create(kind, name, body):
        case Written() | Conflict():
            return None
        case Unavailable() as problem:
            return problem
        case Unclear(detail):
            found = store.get(kind, name)
    match found:
        case Err(problem):
            return problem
        case Ok(None):
            return Unavailable(detail)
    return None


def _update_head(
    store: ObjectStore,
    head: VersionedHead,
    mark: AppliedNote,
) -> CommitOutcome:
    body = encode_head(mark, head.head.history)
    is_unclear = False
    for _ in range(MAX_HEAD_WRITE_ATTEMPTS):
        match _write_head(store, body, head.version):
            case Written():
                return Committed(mark.number)
            case Unavailable(detail, retry_after_s) if not is_unclear:
                return CommitUnavailable(detail, retry_after_s)
            case Unclear() | Unavailable():
                is_unclear = True
        # A write whose reply was lost can still take effect, but only while
        # the head is at the old version, so retrying the same conditional
        # write cannot apply it twice.
        latest = read_head(store)
        if isinstance(latest, Ok) and latest.ok_value.version != head.version:
            known_outcome = _find_known_outcome(latest.ok_value, mark)
            return known_outcome or CommitConflict(latest.ok_value.head.number)
    return CommitUnclear('the store did not confirm the update of the head')


def _write_head(store: ObjectStore, body: bytes, version: int) -> WriteOutcome:
    if version:
        return store.replace(HEAD_KIND, HEAD_NAME, body, version=version)
    return store.create(HEAD_KIND, HEAD_NAME, body)
