"""The load file: which requests are sent, at which rate, for whom."""

import math
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Final, Self

import tomlkit
from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from result import Err, Ok, Result
from tomlkit.exceptions import TOMLKitError

from figspread.policy.prompts import length_class
from figspread.policy.types import LengthClass

MAX_FILE_BYTES: Final = 1_048_576
MAX_REQUESTS: Final = 1_000_000
MAX_PROMPT_TOKENS: Final = 2_000_000
_SHARE_TOLERANCE: Final = 0.001

_Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
_Share = Annotated[float, Field(gt=0, le=1)]
_Name = Annotated[str, Field(min_length=1, max_length=200)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class ClassPlan(_StrictModel):
    """Prompts of one length class, as a share of all prompts.

    Lengths in tokens are log-uniform from `from_tokens` up to, but without,
    `to_tokens`.
    """

    length: LengthClass
    share: _Share
    from_tokens: Annotated[int, Field(ge=1)]
    to_tokens: Annotated[int, Field(le=MAX_PROMPT_TOKENS)]

    @model_validator(mode='after')
    def _check_lengths(self) -> Self:
        if self.from_tokens >= self.to_tokens:
            raise ValueError('the class is empty: from_tokens >= to_tokens')
        end_tokens = (self.from_tokens, self.to_tokens - 1)
        if any(
            length_class(tokens) is not self.length for tokens in end_tokens
        ):
            raise ValueError(
                'prompts of these lengths are not of class {0}'.format(
                    self.length.value,
                ),
            )
        return self


class WorkspacePlan(_StrictModel):
    """A workspace and its share of the requests."""

    name: _Name
    share: _Share


def _check_classes(
    classes: tuple[ClassPlan, ...],
) -> tuple[ClassPlan, ...]:
    _check_shares(
        [(class_plan.length.value, class_plan.share) for class_plan in classes]
    )
    return classes


def _check_workspaces(
    workspaces: tuple[WorkspacePlan, ...],
) -> tuple[WorkspacePlan, ...]:
    _check_shares(
        [(workspace.name, workspace.share) for workspace in workspaces]
    )
    return workspaces


def _check_shares(named_shares: Sequence[tuple[str, float]]) -> None:
    problems = []
    total = math.fsum(share for _, share in named_shares)
    if abs(total - 1) > _SHARE_TOLERANCE:
        problems.append('the shares add up to {0:.4g}, not 1'.format(total))
    if len({name for name, _ in named_shares}) < len(named_shares):
        problems.append('a name is listed twice')
    if problems:
        raise ValueError('; '.join(problems))


class PrefixPlan(_StrictModel):
    """Prefixes that prompts have in common.

    A fraction `share` of the prompts starts with one of `count` prefixes of
    `tokens` tokens each.
    """

    share: Annotated[float, Field(ge=0, le=1)] = 0.5
    count: Annotated[int, Field(ge=1, le=10_000)] = 20
    tokens: Annotated[int, Field(ge=1, le=100_000)] = 900


class ServicePlan(_StrictModel):
    """Calls of a plain service, each with its own `Idempotency-Key`."""

    name: _Name
    path: Annotated[str, Field(pattern='^/')]
    requests_per_s: _Positive
    method: _Name = 'POST'
    body: str = '{}'


class LoadPlan(_StrictModel):
    """A load file.

    Prompts arrive at `requests_per_s` for `duration_s` seconds. A refused
    request is retried at most `comebacks` times.
    """

    model: _Name
    requests_per_s: _Positive
    duration_s: Annotated[float, Field(gt=0, le=3600)]
    classes: Annotated[
        tuple[ClassPlan, ...],
        Field(min_length=1),
        AfterValidator(_check_classes),
    ]
    workspaces: Annotated[
        tuple[WorkspacePlan, ...],
        Field(min_length=1),
        AfterValidator(_check_workspaces),
    ]
    services: tuple[ServicePlan, ...] = ()
    prefixes: PrefixPlan = PrefixPlan()
    seed: Annotated[int, Field(ge=0)] = 1
    output_tokens: Annotated[int, Field(ge=1, le=100_000)] = 64
    time_limit_s: Annotated[float, Field(gt=0, le=3600)] = 60
    threads: Annotated[int, Field(ge=1, le=2000)] = 200
    comebacks: Annotated[int, Field(ge=0, le=10)] = 0

    @property
    def total_per_s(self) -> float:
        """The requests per second, including calls of plain services."""
        return self.requests_per_s + math.fsum(
            service.requests_per_s for service in self.services
        )

    @model_validator(mode='after')
    def _check_request_count(self) -> Self:
        if self.total_per_s * self.duration_s > MAX_REQUESTS:
            raise ValueError(
                'impossible rate: more than {0} requests in all'.format(
                    MAX_REQUESTS,
                ),
            )
        return self


def read_plan(path: Path) -> Result[LoadPlan, list[str]]:
    """Return the plan in the file at `path`, or all errors found in it."""
    try:
        raw = path.read_bytes()
    except OSError as exc:
        return Err([str(exc)])
    if len(raw) > MAX_FILE_BYTES:
        return Err(['the file is larger than a megabyte'])
    try:
        return parse_plan(tomlkit.parse(raw).unwrap())
    except (TOMLKitError, UnicodeDecodeError, RecursionError) as exc:
        return Err(['not TOML: {0}'.format(exc)])


def parse_plan(fields: dict[str, Any]) -> Result[LoadPlan, list[str]]:
    """Return the plan in `fields`, or all errors found in them."""
    try:
        return Ok(LoadPlan.model_validate(fields))
    except ValidationError as exc:
        return Err(
            [
                '{0}: {1}'.format(_format_location(fault['loc']), fault['msg'])
                for fault in exc.errors()
            ],
        )


def _format_location(location: tuple[int | str, ...]) -> str:
    return '.'.join(str(part) for part in location) or 'file'
