"""Builds the `Submit` message, which asks an agent to run a request."""

from typing import Final

from figspread.entry.relay import Relay
from figspread.ids import AttemptId
from figspread.inner.messages import Submit

# The agent's deadline is a little earlier than the entry's, by this share of
# the time left and at most this many seconds. Its own outcome, which may be
# more precise, then arrives before the entry's deadline.
REPLY_MARGIN_SHARE: Final = 0.02
MAX_REPLY_MARGIN_S: Final = 0.1
MS_PER_S: Final = 1000


def build_submit(
    attempt: AttemptId,
    relay: Relay,
    *,
    crashes: int = 0,
) -> Submit:
    """Return the message for an attempt of the relay's request.

    `crashes` is how many upstream crashes the request is suspected of. The
    time left is computed here, so call it right before sending.
    """
    req = relay.req
    left_s = relay.deadline.left_s()
    margin_s = min(MAX_REPLY_MARGIN_S, left_s * REPLY_MARGIN_SHARE)
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
        resume_from=relay.retry_state.delivered_tokens,
        fingerprint=req.work.fingerprint,
        crashes=crashes,
        prefix=req.work.prefix,
        traceparent=req.traceparent,
        body_size=len(req.body),
        body=req.body,
    )
