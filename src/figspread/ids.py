"""Types of ids, and generators of new ids."""

import uuid
from typing import NewType

RequestId = NewType('RequestId', str)
AttemptId = NewType('AttemptId', str)
CrashId = NewType('CrashId', str)
WorkspaceId = NewType('WorkspaceId', str)
UpstreamId = NewType('UpstreamId', str)
ServiceName = NewType('ServiceName', str)
PoolId = NewType('PoolId', str)
ModelName = NewType('ModelName', str)
DataCentreId = NewType('DataCentreId', str)
RegionId = NewType('RegionId', str)
VmId = NewType('VmId', str)
PeerId = NewType('PeerId', str)
PlacementId = NewType('PlacementId', str)
NoteId = NewType('NoteId', str)
SpanId = NewType('SpanId', str)
Fingerprint = NewType('Fingerprint', str)
PromptPartId = NewType('PromptPartId', str)


def new_request_id() -> RequestId:
    """Return a unique request id."""
    return RequestId('req-{0}'.format(uuid.uuid4().hex))


def new_peer_id(vm: str) -> PeerId:
    """Return a unique id for one run of a process on a VM."""
    return PeerId('{0}-{1}'.format(vm, uuid.uuid4().hex[:8]))


def new_span_id() -> SpanId:
    """Return a unique id for one reservation on several engines."""
    return SpanId('span-{0}'.format(uuid.uuid4().hex))


def new_attempt_id() -> AttemptId:
    """Return a unique id for one attempt of a request at one upstream."""
    return AttemptId('att-{0}'.format(uuid.uuid4().hex))
