"""Sample requests and a workspace for tests of the entry."""

from figspread.config.fleet import Workspace
from figspread.entry.caller_request import CallerRequest
from figspread.entry.completion import Completion, CompletionApi
from figspread.ids import (
    Fingerprint,
    ModelName,
    RequestId,
    ServiceName,
    WorkspaceId,
)
from figspread.inner.messages import UpstreamKind
from figspread.policy.types import RequestProfile

MODEL = ModelName('caption-7b')
WORKSPACE = Workspace(WorkspaceId('studio'), ())
COMPLETION = Completion(CompletionApi.TEXT, MODEL, b'hello', 16, True, b'{}')


def make_profile(
    request: str = 'req-1', prompt_tokens: int = 10
) -> RequestProfile:
    """Return the profile of a completion request for `MODEL`."""
    return RequestProfile(
        request=RequestId(request),
        workspace=WORKSPACE.workspace,
        model=MODEL,
        prompt_tokens=prompt_tokens,
        output_tokens=16,
        fingerprint=Fingerprint('print-{0}'.format(request)),
    )


def make_engine_request(*, time_limit_s: float = 30) -> CallerRequest:
    """Return a completion request, which may be retried."""
    return CallerRequest(
        request=RequestId('req-1'),
        workspace=WORKSPACE,
        kind=UpstreamKind.ENGINE,
        path=CompletionApi.TEXT.value,
        body=b'{}',
        work=make_profile(),
        time_limit_s=time_limit_s,
        is_repeatable=True,
        completion=COMPLETION,
    )


def make_service_request(*, is_repeatable: bool = False) -> CallerRequest:
    """Return a request to the plain service `order-desk`."""
    return CallerRequest(
        request=RequestId('req-2'),
        workspace=WORKSPACE,
        kind=UpstreamKind.SERVICE,
        path='/print-jobs',
        body=b'{}',
        work=make_profile('req-2', prompt_tokens=0),
        time_limit_s=30,
        is_repeatable=is_repeatable,
        service=ServiceName('order-desk'),
    )
