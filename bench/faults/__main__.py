"""Runs fault cases against real processes and prints one row a case."""

import subprocess
import sys
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import click
import msgspec
from tabulate import tabulate

from bench.faults.cases import CASES
from bench.faults.runner import Case, run_case
from bench.faults.tally import Row

DEFAULT_SEED: Final = 1
SEED_LIMIT: Final = 2**32 - 1
# Each case starts about ten processes; two cases already load the machine.
CONCURRENT_CASES: Final = 2
COLUMNS: Final = (
    'fault',
    'sent',
    'answered',
    'not_run',
    'failed',
    'unknown',
    'left',
    'doubled',
    'lost',
    'memory_left',
)


@click.command()
@click.option('--list', 'is_list', is_flag=True, help='Only name the faults.')
@click.option('--only', 'names', multiple=True, help='Run this fault only.')
@click.option(
    '--seed',
    type=click.IntRange(0, SEED_LIMIT),
    default=DEFAULT_SEED,
    show_default=True,
    help='Fixes the calls of each case.',
)
@click.option('--json', 'is_json', is_flag=True, help='Print rows as JSON.')
def main(
    *, is_list: bool, names: tuple[str, ...], seed: int, is_json: bool
) -> None:
    """Run fault cases against real processes, one row a case.

    The exit code is 1 when a request was doubled or lost, memory was left
    behind, or a case did not show what it should.
    """
    selected = _select_cases(names)
    if is_list:
        click.echo('\n'.join(case.name for case in selected))
        return
    rows = [
        _print_unmet_expectations(row) for row in _run_cases(selected, seed)
    ]
    click.echo(_format_rows(rows, is_json=is_json))
    sys.exit(0 if all(row.is_clean for row in rows) else 1)


def _select_cases(names: Sequence[str]) -> Sequence[Case]:
    known = {case.name: case for case in CASES}
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(
            'unknown fault {0}; the faults are {1}'.format(
                ', '.join(unknown),
                ', '.join(known),
            ),
        )
    return [known[name] for name in names] or CASES


def _run_cases(cases: Sequence[Case], seed: int) -> Iterator[Row]:
    with ThreadPoolExecutor(CONCURRENT_CASES) as pool:
        yield from pool.map(lambda case: _run_reported(case, seed), cases)


def _run_reported(case: Case, seed: int) -> Row:
    try:
        return run_case(case, seed)
    except (AssertionError, subprocess.SubprocessError) as exc:
        return Row(
            case.name, unmet=['case did not complete: {0!r}'.format(exc)]
        )


def _print_unmet_expectations(row: Row) -> Row:
    for line in row.unmet:
        click.echo('{0}: {1}'.format(row.fault, line), err=True)
    return row


def _format_rows(rows: Sequence[Row], *, is_json: bool) -> str:
    if is_json:
        return msgspec.json.format(msgspec.json.encode(rows)).decode()
    table = [
        [*(getattr(row, name) for name in COLUMNS), len(row.unmet)]
        for row in rows
    ]
    headers = [*(name.replace('_', ' ') for name in COLUMNS), 'not met']
    return tabulate(table, headers, tablefmt='github')


if __name__ == '__main__':
    main()
