"""`figspread`: command line for operators."""

import click

from figspread.cli.fleet import drain, explain, status
from figspread.cli.keys import workspace_key
from figspread.cli.release import release
from figspread.cli.settings import settings
from figspread.cli.start import version_option


@click.group()
@version_option('figspread')
def main() -> None:
    """Operate a fleet of figspread.

    Exit codes: 0 when done; 1 when something could not be done or a process
    does not answer; 2 when a file or an argument is invalid and nothing was
    done; 3 when another release note was applied first; 4 when it is unclear
    whether a note was applied: then run the same command again.
    """


main.add_command(release)
main.add_command(status)
main.add_command(explain)
main.add_command(settings)
main.add_command(drain)
main.add_command(workspace_key)


if __name__ == '__main__':
    main()
