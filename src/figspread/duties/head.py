"""The head: the single object that refers to the configuration in force."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from figspread.documents import MalformedDocument, decode_json
from figspread.ids import NoteId
from figspread.platform.types import ObjectStore, StoredObject, Unavailable

HEAD_KIND: Final = 'config'
HEAD_NAME: Final = 'head'
DOCUMENT_KIND: Final = 'config-documents'
NOTE_KIND: Final = 'notes'
# Number of applied notes listed in the head.
HISTORY_LENGTH: Final = 100


class AppliedNote(msgspec.Struct, frozen=True):
    """An applied release note and the number of its configuration.

    `document` and `text` are the names of the objects that hold the
    configuration and the note as its operator wrote it.
    """

    note: NoteId
    number: int
    document: str = ''
    text: str = ''


class NoteText(msgspec.Struct, frozen=True):
    """A release note as its operator wrote it.

    Each note needs a new id of letters, digits, `-`, `_` and `.`.
    """

    note: NoteId
    text: str
    operator: str = ''


class Head(msgspec.Struct, frozen=True):
    """The contents of the head.

    `number`, `note` and `document` are those of the configuration in force.
    `history` lists up to `HISTORY_LENGTH` applied notes, oldest first.
    """

    number: int = 0
    note: NoteId = NoteId('')
    document: str = ''
    history: tuple[AppliedNote, ...] = ()


class VersionedHead(msgspec.Struct, frozen=True):
    """The head and its object version, which is 0 if there is no head yet."""

    head: Head
    version: int


def read_head(store: ObjectStore) -> Result[VersionedHead, Unavailable]:
    """Return the head, or an empty one if none has been written yet."""
    match store.get(HEAD_KIND, HEAD_NAME):
        case Ok(None):
            return Ok(VersionedHead(Head(), 0))
        case Ok(StoredObject(body=body, version=version)):
            return decode_head(body).map(
                lambda head: VersionedHead(head, version)
            )
        case Err(problem):
            return Err(problem)
    return Err(Unavailable('the configuration head cannot be read'))


def decode_head(body: bytes) -> Result[Head, Unavailable]:
    """Decode the head in `body`."""
    try:
        return Ok(decode_json(body, Head))
    except MalformedDocument as exc:
        return Err(
            Unavailable('the configuration head is damaged: {0}'.format(exc))
        )


def encode_head(
    applied: AppliedNote,
    earlier: tuple[AppliedNote, ...],
) -> bytes:
    """Return the encoded head after `applied` is added to `earlier` notes."""
    history = (*earlier, applied)[-HISTORY_LENGTH:]
    return msgspec.json.encode(
        Head(applied.number, applied.note, applied.document, history),
    )


def name_document(note: NoteId, number: int, digest: str) -> str:
    """Return the name of a configuration's document in the store."""
    return '{0}-{1}-{2}'.format(note, number, digest)


def document_number(name: str) -> int:
    """Return the configuration number in a document's name, 0 if it has none.

    >>> document_number('spring-prices-7-0a1b')
    7
    """
    parts = name.rsplit('-', 2)
    if len(parts) < 3 or not parts[1].isdecimal():
        return 0
    return int(parts[1])


def list_history(
    store: ObjectStore,
) -> Result[tuple[AppliedNote, ...], Unavailable]:
    """Return the most recently applied notes, oldest first."""
    return read_head(store).map(lambda found: found.head.history)


def load_note(
    store: ObjectStore,
    mark: AppliedNote,
) -> Result[NoteText | None, Unavailable]:
    """Return an applied note as written, or `None` if it is not stored."""
    match store.get(NOTE_KIND, mark.text or mark.note):
        case Ok(StoredObject(body=body)):
            return _decode_note(body)
        case Err(problem):
            return Err(problem)
    return Ok(None)


def _decode_note(body: bytes) -> Result[NoteText | None, Unavailable]:
    try:
        return Ok(decode_json(body, NoteText))
    except MalformedDocument as exc:
        return Err(
            Unavailable('the stored release note is damaged: {0}'.format(exc))
        )
