"""Prints the share of worth that heavy days can earn at best, by policy."""

from typing import Final

import click
from tabulate import tabulate

from bench.bound.load import Site, draw_load
from bench.bound.simulation import (
    DaySimulation,
    EarnedShares,
    compute_earned_shares,
    compute_engine_time_bound,
)
from bench.bound.sites import SITES
from figspread.policy.placement import PlacementName

# Prompts of a simulated day arrive during this many seconds, which cover three
# bursts and the start of a fourth. The simulation lasts until all have ended.
LENGTH_S: Final = 34.0


@click.command()
@click.option('--seeds', default=5, help='days to play on each site')
@click.option(
    '--site',
    'names',
    type=click.Choice(tuple(SITES)),
    multiple=True,
    help='site to play; may be given several times; all by default',
)
@click.option('--baselines', is_flag=True, help='also play the baselines')
def main(*, seeds: int, names: tuple[str, ...], baselines: bool) -> None:
    """Simulate heavy days in virtual time with the product's policies."""
    sites = [SITES[name] for name in names or SITES]
    rows = [
        row for site in sites for row in _simulate_site(site, seeds, baselines)
    ]
    click.echo(
        tabulate(
            rows,
            [
                'site',
                'bound or policy',
                'entries',
                'whole day',
                'worst 2 s',
                *sorted(kind.name for kind in sites[0].kinds),
            ],
            tablefmt='github',
            floatfmt='.3f',
        ),
    )


def _simulate_site(
    site: Site, seeds: int, has_baselines: bool
) -> list[list[object]]:
    loads = [draw_load(site, LENGTH_S, seed) for seed in range(seeds)]
    bounds = [compute_engine_time_bound(site, load, LENGTH_S) for load in loads]
    rows: list[list[object]] = [[site.name, 'engine time', '', _mean(bounds)]]
    runs = [
        (PlacementName.ENGINE_TIME, 1),
        (PlacementName.ENGINE_TIME, site.entries),
    ]
    if has_baselines:
        runs += [
            (PlacementName.FEWEST_REQUESTS, site.entries),
            (PlacementName.RANDOM, site.entries),
        ]
    for policy, entries in runs:
        earned = [
            compute_earned_shares(
                DaySimulation(site, policy, seed, entries=entries).run(load),
                LENGTH_S,
            )
            for seed, load in enumerate(loads)
        ]
        rows.append([site.name, policy.value, entries, *_mean_shares(earned)])
    return rows


def _mean_shares(earned: list[EarnedShares]) -> list[float]:
    kinds = earned[0].by_kind
    return [
        _mean([day.whole_day for day in earned]),
        _mean([day.worst_window for day in earned]),
        *(_mean([day.by_kind[kind] for day in earned]) for kind in kinds),
    ]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


if __name__ == '__main__':
    main()
