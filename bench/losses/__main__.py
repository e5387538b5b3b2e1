"""Prints where a played day lost requests, by length of prompt and by window."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Final, TextIO

import click
from tabulate import tabulate

from bench.losses.trails import Cause, Loss, collect_losses, read_rows
from figspread.policy.prompts import length_class

PLAIN: Final = 'plain'


@click.command()
@click.argument('log', type=click.File())
@click.option('--window-s', default=2.0, help='length of a window of arrivals')
@click.option(
    '--list',
    'causes',
    type=click.Choice([cause.name.lower() for cause in Cause]),
    multiple=True,
    help='also list the requests with this cause',
)
def main(*, log: TextIO, window_s: float, causes: tuple[str, ...]) -> None:
    """Read LOG, the output of a play with the logs of all entries.

    Counts requests as the entries saw them: callers that reached no entry are
    missing, and a caller that comes back is counted again.
    """
    losses = collect_losses(read_rows(log))
    click.echo(_make_table(losses, 'prompt', _name_class))
    click.echo()
    click.echo(
        _make_table(
            losses,
            'from second',
            lambda loss: '{0:g}'.format(loss.arrived_s // window_s * window_s),
        )
    )
    click.echo()
    details = Counter(
        (loss.cause.value, loss.detail) for loss in losses if loss.detail
    )
    click.echo(
        tabulate(
            [
                (count, *cause_detail)
                for cause_detail, count in details.most_common()
            ],
            ['requests', 'cause', 'detail'],
            tablefmt='github',
        )
    )
    for loss in losses:
        if loss.cause.name.lower() in causes:
            click.echo(
                '{0:.3f} {1} {2} tokens: {3} {4}'.format(
                    loss.arrived_s,
                    loss.request,
                    loss.prompt_tokens,
                    loss.cause.value,
                    loss.detail,
                )
            )


def _name_class(loss: Loss) -> str:
    if not loss.prompt_tokens:
        return PLAIN
    return length_class(loss.prompt_tokens).value


def _make_table(
    losses: Sequence[Loss], title: str, group: Callable[[Loss], str]
) -> str:
    counts: Counter[tuple[str, Cause]] = Counter(
        (group(loss), loss.cause) for loss in losses
    )
    groups = sorted({name for name, _ in counts}, key=_sort_key)
    return tabulate(
        [[name, *_count_causes(counts, name)] for name in groups],
        [title, *(cause.value for cause in Cause)],
        tablefmt='github',
    )


def _count_causes(
    counts: Counter[tuple[str, Cause]], name: str
) -> Iterable[int]:
    return (counts[name, cause] for cause in Cause)


def _sort_key(name: str) -> tuple[float, str]:
    head = name.partition('k')[0].partition('-')[0]
    try:
        return float(head), name
    except ValueError:
        return float('-inf'), name


if __name__ == '__main__':
    main()
