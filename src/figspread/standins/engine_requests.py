"""The requests that a stand-in engine runs, and their progress."""

import msgspec


class RunRequest(msgspec.Struct, frozen=True):
    """A request to the engine, with its sizes in tokens.

    The engine produces the tokens from `first_token` up to, but without,
    `end_token`; none for a prefill-only request. It makes no progress after
    `stuck_after` tokens, if set.
    """

    attempt: str
    prompt_tokens: int
    first_token: int = 0
    end_token: int = 0
    priority: int = 0
    cached_tokens: int = 0
    stuck_after: int | None = None

    @property
    def is_prefill_only(self) -> bool:
        """Whether no output token is requested."""
        return self.end_token == 0

    @property
    def is_already_answered(self) -> bool:
        """Whether the caller already has all output tokens."""
        return not self.is_prefill_only and self.first_token == self.end_token

    @property
    def prefill_tokens(self) -> int:
        """The tokens to prefill, at least one.

        After a resume they include the tokens that the caller has already.
        """
        known = self.prompt_tokens + self.first_token
        return max(1, known - self.cached_tokens)

    @property
    def kv_tokens(self) -> int:
        """The KV memory that is reserved for the request from its start."""
        return self.prompt_tokens + self.end_token


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was refused, with the HTTP status for it."""

    status: int
    detail: str
    retry_after_s: float = 0


class Progress(msgspec.Struct, frozen=True):
    """A request has produced token `index`, or ended its prefill if -1.

    The index is -1 for prefill-only requests alone.
    """

    attempt: str
    index: int
    is_last: bool
