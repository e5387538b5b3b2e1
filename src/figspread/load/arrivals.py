"""Generates the arrivals of a load run, reproducibly from a seed."""

import heapq
import math
from collections.abc import Iterator, Sequence
from typing import Final, TypeAlias

import msgspec
import numpy as np
from numpy import typing as npt

from figspread.load.plan import ClassPlan, LoadPlan, ServicePlan
from figspread.policy.types import LengthClass

NO_PREFIX: Final = -1
_Probabilities: TypeAlias = npt.NDArray[np.float64]
# Second element of the seeds, so that each use has its own random stream.
_PROMPTS_STREAM: Final = 0
_SERVICES_STREAM: Final = 1


class PromptCall(msgspec.Struct, frozen=True):
    """A prompt that arrives `at_s` seconds after the start of the run.

    `prefix` is the index of its shared prefix, or `NO_PREFIX`. `number` counts
    the prompts of the run.
    """

    at_s: float
    number: int
    workspace: str
    length: LengthClass
    prompt_tokens: int
    prefix: int


class ServiceCall(msgspec.Struct, frozen=True):
    """A call of a plain service, `at_s` seconds after the start of the run.

    `number` counts the calls of this service.
    """

    at_s: float
    number: int
    workspace: str
    service: ServicePlan


Arrival: TypeAlias = PromptCall | ServiceCall


def generate_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Return all arrivals in order of time; the same plan gives the same."""
    streams: list[Iterator[Arrival]] = [_generate_prompt_calls(plan)]
    for service_index, service in enumerate(plan.services):
        streams.append(_generate_service_calls(plan, service, service_index))
    return heapq.merge(*streams, key=lambda arrival: arrival.at_s)


def _generate_prompt_calls(plan: LoadPlan) -> Iterator[PromptCall]:
    rng = np.random.default_rng([plan.seed, _PROMPTS_STREAM])
    class_probabilities = _normalise(
        [class_plan.share for class_plan in plan.classes]
    )
    workspace_names = [
        workspace_plan.name for workspace_plan in plan.workspaces
    ]
    probabilities = _workspace_probabilities(plan)
    arrival_times = _generate_arrival_times(
        rng, plan.requests_per_s, plan.duration_s
    )
    for number, at_s in enumerate(arrival_times):
        drawn_class = plan.classes[
            rng.choice(len(class_probabilities), p=class_probabilities)
        ]
        has_prefix = rng.random() < plan.prefixes.share
        prefix = int(rng.integers(plan.prefixes.count))
        yield PromptCall(
            at_s=at_s,
            number=number,
            workspace=workspace_names[
                rng.choice(len(workspace_names), p=probabilities)
            ],
            length=drawn_class.length,
            prompt_tokens=_draw_prompt_tokens(rng, drawn_class),
            prefix=prefix if has_prefix else NO_PREFIX,
        )


def _generate_service_calls(
    plan: LoadPlan,
    service: ServicePlan,
    service_index: int,
) -> Iterator[ServiceCall]:
    rng = np.random.default_rng([plan.seed, _SERVICES_STREAM, service_index])
    workspace_names = [
        workspace_plan.name for workspace_plan in plan.workspaces
    ]
    probabilities = _workspace_probabilities(plan)
    arrival_times = _generate_arrival_times(
        rng, service.requests_per_s, plan.duration_s
    )
    for number, at_s in enumerate(arrival_times):
        workspace = workspace_names[
            rng.choice(len(workspace_names), p=probabilities)
        ]
        yield ServiceCall(at_s, number, workspace, service)


def _generate_arrival_times(
    rng: np.random.Generator,
    requests_per_s: float,
    duration_s: float,
) -> Iterator[float]:
    at_s = rng.exponential(1 / requests_per_s)
    while at_s < duration_s:
        yield float(at_s)
        at_s += rng.exponential(1 / requests_per_s)


def _workspace_probabilities(plan: LoadPlan) -> _Probabilities:
    return _normalise([workspace.share for workspace in plan.workspaces])


def _normalise(shares: Sequence[float]) -> _Probabilities:
    total = math.fsum(shares)
    return np.array([share / total for share in shares], dtype=np.float64)


def _draw_prompt_tokens(rng: np.random.Generator, class_plan: ClassPlan) -> int:
    low, high = np.log((class_plan.from_tokens, class_plan.to_tokens))
    drawn = int(np.exp(rng.uniform(low, high)))
    return min(max(drawn, class_plan.from_tokens), class_plan.to_tokens - 1)
