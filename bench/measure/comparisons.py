"""Comparisons of policies, with the loads that each one runs."""

from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Final, NamedTuple, TypeAlias

from bench.measure.fleet import Load, Measurement, Policies, run_fleet
from bench.measure.loads import (
    ALL_CLASSES,
    LONG_PROMPTS,
    SHORT_PROMPTS,
    TYPICAL_MIX,
    ClassShares,
    compute_capacity,
    make_plan,
)
from figspread.load.report import GroupSummary, Report
from figspread.policy.routing import RouterName

DEFAULT_POLICIES: Final = Policies()
ARRIVAL_ORDER: Final = Policies(queue='arrival')
WITHOUT_ADMISSION: Final = Policies(queue='arrival', checks_wait=False)
EQUAL_WEIGHTS: Final = {'studio-a': 1.0, 'studio-b': 1.0}

# Fields of a load plan that give a share of the prompts common prefixes.
COMMON_PREFIXES: Final = {'share': 0.8, 'count': 60, 'tokens': 900}
# The part of a common prefix that fills whole cache blocks.
CACHED_PREFIX_TOKENS: Final = 768
# Seconds on the engines' clock, which runs faster than the machine's.
TIME_LIMIT_S: Final = 12.0

Row: TypeAlias = Mapping[str, str | float]


class ComparisonOptions(NamedTuple):
    """The options that all comparisons of a run share.

    `is_quick` shortens the loads and leaves out most variants; without
    `has_baselines` only the default policies run.
    """

    seed: int
    scale: float
    folder: Path
    is_quick: bool
    has_baselines: bool

    @property
    def capacity(self) -> float:
        """Prefill capacity of the fleet, in prompt tokens per second."""
        return compute_capacity(self.scale)

    @property
    def limit_s(self) -> float:
        """Time limit of requests under overload, in real seconds."""
        return TIME_LIMIT_S / self.scale

    def select_duration_s(self, full_s: float) -> float:
        """Return how long to send a load that takes `full_s` in a full run."""
        return 4 if self.is_quick else full_s

    def run(
        self,
        name: str,
        policies: Policies,
        loads: Mapping[str, Mapping[str, object]],
        weights: Mapping[str, float] = EQUAL_WEIGHTS,
    ) -> Measurement:
        """Run `loads` concurrently against a new fleet."""
        plans = [
            Load('{0}-{1}'.format(name, part), self._plan(number, fields))
            for number, (part, fields) in enumerate(loads.items())
        ]
        with run_fleet(policies, self.scale, weights) as fleet:
            return fleet.measure(plans, self.folder)

    def _plan(self, number: int, fields: Mapping[str, object]):  # type: ignore
        plan_fields = dict(fields)
        load = plan_fields.pop('load')
        return make_plan(
            plan_fields.pop('shares'),  # type: ignore
            tokens_per_s=load * self.capacity,  # type: ignore
            seed=self.seed + number,
            **plan_fields,  # type: ignore
        )


def compare_routing(options: ComparisonOptions) -> Iterator[Row]:
    """Compare routers under the same prompt mix at 0.7 of capacity."""
    routers = [name.value for name in RouterName]
    if not options.has_baselines:
        routers = [RouterName.TOKEN_WORK.value]
    elif options.is_quick:
        routers = [RouterName.ROUND_ROBIN.value, RouterName.TOKEN_WORK.value]
    for router in routers:
        name = 'routing-{0}'.format(router)
        measurement = options.run(
            name,
            Policies(router=router),
            {
                'mix': _build_load(
                    ALL_CLASSES,
                    0.7,
                    options.select_duration_s(12),
                    prefixes=COMMON_PREFIXES,
                )
            },
        )
        report = measurement.reports['{0}-mix'.format(name)]
        yield {
            'router': router,
            **_summarize_first_tokens(report),
            **_count_outcomes(report),
            **_summarize_engines(measurement),
            'late p99 ms': report.late.p99_ms,
        }


def compare_short_behind_long(options: ComparisonOptions) -> Iterator[Row]:
    """Compare short prompts with and without long ones, for each queue."""
    queues = {'tokens': DEFAULT_POLICIES, 'arrival': ARRIVAL_ORDER}
    if options.is_quick or not options.has_baselines:
        queues.pop('arrival')
    for queue, policies in queues.items():
        for has_long_prompts in (False, True):
            yield _measure_short_prompts(
                options, queue, policies, has_long_prompts
            )


def _measure_short_prompts(
    options: ComparisonOptions,
    queue: str,
    policies: Policies,
    has_long_prompts: bool,
) -> Row:
    duration_s = options.select_duration_s(16)
    loads = {'shorts': _build_load(SHORT_PROMPTS, 0.25, duration_s)}
    if has_long_prompts:
        loads['longs'] = _build_load(LONG_PROMPTS, 0.4, duration_s)
    name = 'behind-{0}-{1}'.format(
        queue, 'with' if has_long_prompts else 'without'
    )
    measurement = options.run(name, policies, loads)
    shorts = measurement.reports['{0}-shorts'.format(name)]
    row: dict[str, str | float] = {
        'queue': queue,
        'longs': 'with' if has_long_prompts else 'without',
        'shorts p50 ms': shorts.total.first_token.p50_ms,
        'shorts p95 ms': shorts.total.first_token.p95_ms,
        **_count_outcomes(shorts, 'shorts '),
        'late p99 ms': shorts.late.p99_ms,
    }
    if has_long_prompts:
        longs = measurement.reports['{0}-longs'.format(name)]
        row |= {
            'longs p95 ms': longs.total.first_token.p95_ms,
            **_count_outcomes(longs, 'longs '),
        }
    return row


def compare_overload(options: ComparisonOptions) -> Iterator[Row]:
    """Compare runs with and without admission at 0.5 to 3 times capacity."""
    variants = {'admission': DEFAULT_POLICIES, 'none': WITHOUT_ADMISSION}
    if options.is_quick or not options.has_baselines:
        variants.pop('none')
    for name, policies in variants.items():
        loads = (1, 2) if options.is_quick else (0.5, 1, 2, 3)
        for load_factor in loads:
            yield _measure_overload(options, name, policies, load_factor)
    if not options.is_quick:
        # Retries wait up to a minute, too long for a quick run.
        yield _measure_retries(options)


def _measure_overload(
    options: ComparisonOptions,
    name: str,
    policies: Policies,
    load_factor: float,
) -> Row:
    run_name = 'overload-{0}-{1}'.format(name, load_factor)
    duration_s = options.select_duration_s(10)
    measurement = options.run(
        run_name,
        policies,
        {
            'usual': _build_load(
                TYPICAL_MIX,
                load_factor,
                duration_s,
                time_limit_s=options.limit_s,
            )
        },
    )
    report = measurement.reports['{0}-usual'.format(run_name)]
    return {
        'variant': name,
        'load': load_factor,
        **_summarize_goodput(report),
        **_count_outcomes(report),
        'short p95 ms': report.classes['1k-4k'].first_token.p95_ms,
        'late p99 ms': report.late.p99_ms,
        'reasons': _format_reasons(report.total),
    }


def _measure_retries(options: ComparisonOptions) -> Row:
    run_name = 'overload-comebacks'
    measurement = options.run(
        run_name,
        DEFAULT_POLICIES,
        {
            'usual': _build_load(
                TYPICAL_MIX,
                2,
                options.select_duration_s(6),
                time_limit_s=options.limit_s,
                comebacks=1,
            ),
        },
    )
    report = measurement.reports['{0}-usual'.format(run_name)]
    return {
        'variant': 'admission, comes back once',
        'load': 2,
        **_summarize_goodput(report),
        **_count_outcomes(report),
        'came back': report.came_back,
        'let in after': report.let_in_after,
        'late p99 ms': report.late.p99_ms,
        'reasons': _format_reasons(report.total),
    }


def compare_workspaces(options: ComparisonOptions) -> Iterator[Row]:
    """Measure weighted shares under overload and isolation from a flood."""
    duration_s = options.select_duration_s(12)
    weights = {'heavy': 3.0, 'light': 1.0}
    shares = options.run(
        'workspaces-shares',
        DEFAULT_POLICIES,
        {
            name: _build_load(
                TYPICAL_MIX,
                1.25,
                duration_s,
                workspaces=[name],
                time_limit_s=options.limit_s,
            )
            for name in weights
        },
        weights,
    )
    for name, weight in weights.items():
        report = shares.reports['workspaces-shares-{0}'.format(name)]
        yield {
            'run': 'shares',
            'workspace': name,
            'weight': weight,
            'answered tokens': report.total.answered_prompt_tokens,
            **_count_outcomes(report),
            'p95 ms': report.total.first_token.p95_ms,
        }
    for has_flood in (False, True):
        yield _measure_flood(options, has_flood)


def _measure_flood(options: ComparisonOptions, has_flood: bool) -> Row:
    duration_s = options.select_duration_s(12)
    loads = {
        'quiet': _build_load(
            TYPICAL_MIX,
            0.2,
            duration_s,
            workspaces=['quiet'],
            time_limit_s=options.limit_s,
        ),
    }
    if has_flood:
        loads['flood'] = _build_load(
            TYPICAL_MIX,
            2,
            duration_s,
            workspaces=['flood'],
            time_limit_s=options.limit_s,
        )
    name = 'workspaces-{0}'.format('flooded' if has_flood else 'quiet')
    measurement = options.run(
        name, DEFAULT_POLICIES, loads, {'quiet': 1, 'flood': 1}
    )
    report = measurement.reports['{0}-quiet'.format(name)]
    return {
        'run': 'with flood' if has_flood else 'without flood',
        'workspace': 'quiet',
        'weight': 1,
        'answered tokens': report.total.answered_prompt_tokens,
        **_count_outcomes(report),
        'p50 ms': report.total.first_token.p50_ms,
        'p95 ms': report.total.first_token.p95_ms,
        'short p95 ms': report.classes['1k-4k'].first_token.p95_ms,
    }


def _build_load(
    shares: ClassShares,
    load: float,
    duration_s: float,
    **changes: object,
) -> dict[str, object]:
    return {
        'shares': shares,
        'load': load,
        'duration_s': duration_s,
        **changes,
    }


def _summarize_first_tokens(report: Report) -> dict[str, float]:
    return {
        '{0} {1}'.format(class_name, label): getattr(group.first_token, field)
        for class_name, group in report.classes.items()
        for label, field in (('p50 ms', 'p50_ms'), ('p95 ms', 'p95_ms'))
    }


def _count_outcomes(report: Report, prefix: str = '') -> dict[str, int]:
    total = report.total
    answered = total.outcomes['answered']
    return {
        '{0}sent'.format(prefix): total.requests,
        '{0}answered'.format(prefix): answered,
        '{0}refused'.format(prefix): total.outcomes['not_run'],
        '{0}failed or unknown'.format(prefix): total.requests
        - answered
        - total.outcomes['not_run'],
    }


def _summarize_goodput(report: Report) -> dict[str, float]:
    tokens = report.total.answered_prompt_tokens
    return {
        'answered/s': report.answered_per_s,
        'answered tokens/s': tokens / report.elapsed_s,
    }


def _summarize_engines(measurement: Measurement) -> dict[str, float]:
    prefilled = [counts.prefill_tokens for counts in measurement.prefills]
    saved = sum(counts.saved_tokens for counts in measurement.prefills)
    requests = sum(counts.requests for counts in measurement.prefills)
    shared = requests * float(COMMON_PREFIXES['share']) * CACHED_PREFIX_TOKENS
    return {
        'prefix hit rate': saved / max(1, shared),
        'most over mean': max(prefilled) / _mean(prefilled),
    }


def _mean(numbers: Sequence[int]) -> float:
    return max(1, sum(numbers)) / len(numbers)


def _format_reasons(group: GroupSummary) -> str:
    return ', '.join(
        '{0} {1}'.format(count, reason)
        for reason, count in group.reasons.items()
    )
