"""Prints the share of worth that heavy days can earn at best, by policy."""

from typing import Final

import click
from tabulate import tabulate

from bench.bound.load import SITES, draw_load
from bench.bound.simulation import (
    DaySimulation,
    EarnedShares,
    compute_earned_shares,
    compute_engine_time_bound,
)
from figspread.policy.placement import PlacementName

# Prompts of a simulated day arrive during this many seconds, which cover three
# bursts and the start of a fourth. The simulation lasts until all have ended.
LENGTH_S: Final = 34.0


@click.command()
@click.option('--seeds', default=5, help='days to play on each site')
def main(*, seeds: int) -> None:
    """Simulate heavy days in virtual time with the product's policies."""
    rows = []
    for site in SITES.values():
        loads = [draw_load(site, LENGTH_S, seed) for seed in range(seeds)]
        bounds = [
            compute_engine_time_bound(site, load, LENGTH_S) for load in loads
        ]
        rows.append([site.name, 'engine time', _mean(bounds)])
        for policy in PlacementName:
            earned = [
                compute_earned_shares(
                    DaySimulation(site, policy, seed).run(load), LENGTH_S
                )
                for seed, load in enumerate(loads)
            ]
            rows.append([site.name, policy.value, *_mean_shares(earned)])
    kinds = [kind.name for kind in SITES['wrap-floor'].kinds]
    headers = ['site', 'bound or policy', 'whole day', 'worst 2 s']
    click.echo(
        tabulate(
            rows,
            [*headers, *sorted(kinds)],
            tablefmt='github',
            floatfmt='.3f',
        ),
    )


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
