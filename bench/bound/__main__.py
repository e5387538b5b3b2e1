"""Prints what heavy days could be worth at best, by policy."""

from typing import Final

import click
from tabulate import tabulate

from bench.bound.load import SITES, draw_load
from bench.bound.play import Earned, Player, bound_by_time, sum_up
from figspread.policy.placement import PlacementName

LENGTH_S: Final = 34.0


@click.command()
@click.option('--seeds', default=5, help='days to play on each site')
def main(*, seeds: int) -> None:
    """Play heavy days on engines in virtual time, by the product's policies."""
    rows = []
    for site in SITES.values():
        loads = [draw_load(site, LENGTH_S, seed) for seed in range(seeds)]
        bounds = [bound_by_time(site, load, LENGTH_S) for load in loads]
        rows.append([site.name, 'engine time', _mean(bounds)])
        for policy in PlacementName:
            earned = [
                sum_up(Player(site, policy, seed).play(load), LENGTH_S)
                for seed, load in enumerate(loads)
            ]
            rows.append([site.name, policy.value, *_means(earned)])
    kinds = [kind.name for kind in SITES['wrap-floor'].kinds]
    heads = ['site', 'bound or policy', 'whole day', 'worst 2 s']
    click.echo(
        tabulate(
            rows,
            [*heads, *sorted(kinds)],
            tablefmt='github',
            floatfmt='.3f',
        ),
    )


def _means(earned: list[Earned]) -> list[float]:
    kinds = earned[0].by_kind
    return [
        _mean([day.whole for day in earned]),
        _mean([day.worst_window for day in earned]),
        *(_mean([day.by_kind[kind] for day in earned]) for kind in kinds),
    ]


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


if __name__ == '__main__':
    main()
