"""Messages that entries exchange when they call upstreams directly."""

from typing import TypeAlias

import msgspec

from figspread.ids import (
    CrashId,
    DataCentreId,
    PeerId,
    PromptPartId,
    UpstreamId,
)
from figspread.inner.base import Message


class PlacementRow(msgspec.Struct, frozen=True, array_like=True):
    """One attempt that an entry has placed on an upstream.

    `reading_ms` is the estimated time of its prefill, `gap_ms` the longest
    allowed pause between two of its events; 0 means no limit. `is_helping`
    marks a helper's part of an attempt whose answer another upstream gives.
    """

    placement: str
    upstream: UpstreamId
    kv_tokens: int = 0
    output_tokens: int = 0
    reading_ms: int = 0
    gap_ms: int = 0
    is_helping: bool = False


class EntryHello(Message, frozen=True):
    """Identifies the entry that opens a connection to another entry.

    `address` is where it listens. `peer` is a new id after each start of the
    process. An entry of `minor_version` 1 or higher reads `CompactNews` and
    `StoreStatus`. `link_mbps` is the bandwidth of its VM.
    """

    version: int
    peer: PeerId
    address: str
    data_centre: DataCentreId = DataCentreId('')
    minor_version: int = 0
    link_mbps: float = 0


class EntryNews(Message, frozen=True):
    """Placement changes since the entry's previous message of this type.

    `started` lists new placements, `read` those whose prefill has finished and
    `ended` those that are over. `config_number` and `store_revision` are the
    versions of the sender's configuration and list of upstreams; a receiver
    with older ones fetches them.
    """

    started: tuple[PlacementRow, ...] = ()
    read: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()
    config_number: int = 0
    store_revision: int = 0
    leaving: bool = False


class CompactRow(msgspec.Struct, frozen=True, array_like=True):
    """A `PlacementRow` that names its placement by the sender's own number."""

    number: int
    upstream: UpstreamId
    kv_tokens: int = 0
    output_tokens: int = 0
    reading_ms: int = 0
    gap_ms: int = 0
    is_helping: bool = False


class CompactNews(
    Message,
    frozen=True,
    tag='N',
    omit_defaults=True,
    rename={
        'started': 's',
        'read': 'p',
        'ended': 'e',
        'config_number': 'c',
        'store_revision': 'r',
        'leaving': 'l',
    },
):
    """`EntryNews` in fewer bytes, for entries that say that they read it.

    Placements have numbers, which are unique within the sending process. Empty
    fields are left out. A version of 0 says that it has not changed since the
    sender's previous message.
    """

    started: tuple[CompactRow, ...] = ()
    read: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()
    config_number: int = 0
    store_revision: int = 0
    leaving: bool = False


class FetchUpstreams(Message, frozen=True):
    """Requests the upstreams that have changed since `store_revision`."""

    store_revision: int


class StoredRow(msgspec.Struct, frozen=True):
    """An object of the store, with the revision at which it was read."""

    name: str
    revision: int
    document: bytes
    is_deleted: bool = False


class UpstreamRows(Message, frozen=True):
    """Upstreams changed or deleted after the revision `since`.

    The list is complete up to `store_revision`. It answers `FetchUpstreams`,
    and watchers of the store send it unasked. `grace_ms` is how much longer
    upstreams that are missing from the store count as usable.
    """

    rows: tuple[StoredRow, ...]
    store_revision: int
    since: int = 0
    grace_ms: int = 0


class StoreStatus(Message, frozen=True, tag='S'):
    """Tells whether the sender watches the store and is up to date.

    Watchers send it with each heartbeat.
    """

    is_watching: bool


class NoticeRow(msgspec.Struct, frozen=True, array_like=True):
    """What one incarnation of an upstream has stated in its answers.

    `rate_limit` is the limit in requests a second if it `states_limit`, `None`
    if it has ended. `age_ms` is how long ago it was told.

    The sender has seen a sign of a restart `restart_age_ms` ago, -1 for none.
    In a `PermitRequest`, `cold_per_s` is the limit that the sender knows to hold
    as the upstream may be cold, 0 for none. Older entries ignore both.
    """

    upstream: UpstreamId
    started_ms: int
    rate_limit: float | None = None
    states_limit: bool = False
    is_leaving: bool = False
    age_ms: int = 0
    restart_age_ms: int = -1
    cold_per_s: float = 0


class UpstreamNoticeRows(Message, frozen=True, tag='U'):
    """What upstreams have stated: all to a new peer, then each change."""

    rows: tuple[NoticeRow, ...]


class PermitRequest(Message, frozen=True, tag='A'):
    """Asks the owner of an upstream's limit whether the sender may send.

    `number` is the sender's own, and `notice` is what it knows of the upstream.
    """

    number: int
    notice: NoticeRow


class PermitReply(Message, frozen=True, tag='G'):
    """Answers a `PermitRequest`: allowed if `wait_ms` is 0.

    Otherwise the sender may ask again after that time.
    """

    number: int
    wait_ms: int = 0


class InterruptedRow(msgspec.Struct, frozen=True, array_like=True):
    """A request that a crash interrupted, `age_ms` ago.

    `request` is the same for repeats of a request, and `parts` are the parts of
    its prompt that other requests may share.
    """

    crash: CrashId
    age_ms: int
    request: str
    parts: tuple[PromptPartId, ...]


class PartEvidenceRow(msgspec.Struct, frozen=True, array_like=True):
    """What speaks for a part that was in an interrupted request.

    `answered_age_ms` is how long ago a prompt with it got a whole answer, -1 if
    none is known to have. `running` answers are arriving at the sender.
    """

    part: PromptPartId
    answered_age_ms: int = -1
    running: int = 0


class QuarantineRow(msgspec.Struct, frozen=True, array_like=True):
    """Parts whose requests are refused, since `age_ms` ago.

    `trials` requests were sent to try them again, and the next one may be sent
    in `next_trial_ms`.
    """

    parts: tuple[PromptPartId, ...]
    age_ms: int = 0
    trials: int = 0
    next_trial_ms: int = 0


class PartNews(
    Message,
    frozen=True,
    tag='Q',
    omit_defaults=True,
    rename={'interrupted': 'i', 'evidence': 'e', 'quarantines': 'q'},
):
    """Evidence on parts of prompts that crash upstreams, and what follows."""

    interrupted: tuple[InterruptedRow, ...] = ()
    evidence: tuple[PartEvidenceRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()


class EvacuationRow(msgspec.Struct, frozen=True, array_like=True):
    """Whether a data centre is evacuated, as of the `StoreVersion` `version`."""

    data_centre: DataCentreId
    version: int
    is_evacuated: bool = True


class EvacuationNews(Message, frozen=True, tag='V'):
    """The data centres that are or were evacuated, all that the sender knows."""

    rows: tuple[EvacuationRow, ...]


class SlowdownRow(msgspec.Struct, frozen=True, array_like=True):
    """How much slower than published an incarnation of an engine runs.

    `factor` is 1 at the published speed; it was measured `age_ms` ago.
    """

    upstream: UpstreamId
    started_ms: int
    factor: float
    age_ms: int = 0


class SlowdownNews(Message, frozen=True, tag='W'):
    """Speeds of engines that the sender has measured."""

    rows: tuple[SlowdownRow, ...]


EntryMessage: TypeAlias = (
    EntryHello
    | EntryNews
    | CompactNews
    | FetchUpstreams
    | UpstreamRows
    | StoreStatus
    | UpstreamNoticeRows
    | PermitRequest
    | PermitReply
    | PartNews
    | EvacuationNews
    | SlowdownNews
)
