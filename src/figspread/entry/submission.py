"""The message that asks an agent to run a request."""

from typing import Final

from figspread.entry.relay import Relay
from figspread.ids import AttemptId
from figspread.inner.messages import Submit

# The agent gets a little less time than is left, so that its own outcome,
# which may know more, is here by the deadline.
REPLY_MARGIN_SHARE: Final = 0.02
REPLY_MARGIN_MOST_S: Final = 0.1
MS_PER_S: Final = 1000


def make_submit(
    attempt: AttemptId,
    relay: Relay,
    *,
    crashes: int = 0,
) -> Submit:
    """Return the message for an attempt of the relay's request.

    The time left is taken now, so the message is made right before it goes.
    """
    req = relay.req
    left_s = relay.deadline.left_s()
    margin_s = min(REPLY_MARGIN_MOST_S, left_s * REPLY_MARGIN_SHARE)
    return Submit(
        attempt=attempt,
        request=req.request,
        workspace=req.workspace.workspace,
        kind=req.kind,
        path=req.path,
        time_left_ms=int((left_s - margin_s) * MS_PER_S),
        method=req.method,
        model=req.work.model,
        headers=dict(req.headers),
        prompt_tokens=req.work.prompt_tokens,
        output_tokens=req.work.output_tokens,
        priority=req.work.priority,
        weight=req.workspace.weight,
        repeatable=req.is_repeatable,
        resume_from=relay.retry_state.tokens,
        fingerprint=req.work.fingerprint,
        crashes=crashes,
        prefix=req.work.prefix,
        traceparent=req.traceparent,
        body_size=len(req.body),
        body=req.body,
    )
