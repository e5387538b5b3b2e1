"""Command line of the load generator."""

import os
import signal
import sys
import threading
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Final, NoReturn

import click
from result import Err, Ok

from figspread.cli.start import version_option
from figspread.load.caller import LoadClient, LoadTarget
from figspread.load.compare import compare_reports
from figspread.load.example import EXAMPLE_LOAD_FILE
from figspread.load.plan import LoadPlan, read_plan
from figspread.load.plot import plot_report
from figspread.load.report import Report, read_report, write_report
from figspread.load.runner import LoadRun
from figspread.load.table import format_report

EXIT_BAD_INPUT: Final = 2
EXIT_PARTIAL: Final = 3
EXIT_NOT_WRITTEN: Final = 1

_FILE_PATH = click.Path(dir_okay=False, path_type=Path)


@click.group()
@version_option('figspread-load')
def main() -> None:
    """Generate an open-loop load and measure the outcomes of its requests."""


def _add_target_options(command: Callable[..., None]) -> Callable[..., None]:
    url = click.option(
        '--url',
        required=True,
        help='URL of an entry or of its load balancer.',
    )
    keys = click.option(
        '--key',
        'keys',
        multiple=True,
        required=True,
        help='An API key for all workspaces, or WORKSPACE=KEY for one.',
    )
    return url(keys(command))


@main.command()
@_add_target_options
@click.argument('load_file', type=_FILE_PATH)
@click.option('--out', required=True, type=_FILE_PATH, help='Report file.')
@click.option('--plot', type=_FILE_PATH, help='Plot file (PNG).')
@click.option(
    '--seed', type=click.IntRange(0), help="Replaces the file's seed."
)
def run(
    load_file: Path,
    *,
    url: str,
    keys: Sequence[str],
    out: Path,
    plot: Path | None,
    seed: int | None,
) -> None:
    """Send the load that LOAD_FILE describes and write a report."""
    plan = _load_plan(load_file, seed)
    target = LoadTarget(_check_url(url), _assign_keys(plan, keys))
    is_stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: is_stopped.set())
    signal.signal(signal.SIGINT, lambda *_: is_stopped.set())
    caller = LoadClient(plan, target, is_stopped)
    report = LoadRun(plan, caller.send_request, is_stopped).run()
    code = _write_results(report, out, plot)
    sys.stdout.flush()
    # Caller threads may still wait for answers and would delay the exit.
    os._exit(code)


@main.command()
@click.argument('load_file', type=_FILE_PATH)
def check(load_file: Path) -> None:
    """Check LOAD_FILE without sending anything."""
    plan = _load_plan(load_file, None)
    click.echo(
        '{0}: about {1:.0f} requests in {2:g} s'.format(
            load_file,
            plan.total_per_s * plan.duration_s,
            plan.duration_s,
        ),
    )


@main.command()
def example() -> None:
    """Print an example of a load file."""
    click.echo(EXAMPLE_LOAD_FILE, nl=False)


@main.command()
@click.argument('first', type=_FILE_PATH)
@click.argument('second', type=_FILE_PATH)
def compare(first: Path, second: Path) -> None:
    """Print the reports FIRST and SECOND side by side."""
    reports = [_load_report(path) for path in (first, second)]
    click.echo(compare_reports(*reports))


def _load_plan(path: Path, seed: int | None) -> LoadPlan:
    match read_plan(path):
        case Ok(plan):
            return plan if seed is None else _replace_seed(plan, seed)
        case Err(faults):
            _exit_with_errors(
                '{0}: {1}'.format(path, fault) for fault in faults
            )


def _replace_seed(plan: LoadPlan, seed: int) -> LoadPlan:
    return plan.model_copy(update={'seed': seed})


def _load_report(path: Path) -> Report:
    match read_report(path):
        case Ok(report):
            return report
        case Err(problem):
            _exit_with_errors([problem])


def _check_url(url: str) -> str:
    if not url.startswith(('http://', 'https://')):
        _exit_with_errors(['--url: must begin with http:// or https://'])
    return url.rstrip('/')


def _assign_keys(plan: LoadPlan, options: Sequence[str]) -> dict[str, str]:
    names = [workspace.name for workspace in plan.workspaces]
    shared_key = ''
    keys_by_workspace: dict[str, str] = {}
    for text in options:
        name, _, key = text.partition('=')
        if name in names and key:
            keys_by_workspace[name] = key
        else:
            shared_key = text
    missing = [
        name for name in names if not keys_by_workspace.get(name, shared_key)
    ]
    if missing:
        _exit_with_errors(
            '--key: no key for workspace {0}'.format(name) for name in missing
        )
    return {name: keys_by_workspace.get(name, shared_key) for name in names}


def _write_results(report: Report, out: Path, plot: Path | None) -> int:
    click.echo(format_report(report))
    problems = [write_report(report, out).err()]
    if plot is not None:
        problems.append(plot_report(report, plot).err())
    faults = [problem for problem in problems if problem is not None]
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        return EXIT_NOT_WRITTEN
    return EXIT_PARTIAL if report.is_partial else 0


def _exit_with_errors(faults: Iterable[str]) -> NoReturn:
    for fault in faults:
        click.echo(fault, err=True)
    sys.exit(EXIT_BAD_INPUT)
