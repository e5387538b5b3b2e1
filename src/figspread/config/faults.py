"""Errors in the files that operators write, with their position."""

import msgspec


class Fault(msgspec.Struct, frozen=True, order=True):
    """An error in a settings file or release note.

    `line` counts from 1; it is 0 if the error belongs to no single line. `key`
    is the path of the key, such as `added.engines[2].pool`. `allowed` says
    which values are accepted there. Faults sort by file and line.

    ```
    >>> print(Fault('entry.toml', 3, 'http.port', 'is 0', 'above 0'))
    entry.toml:3: http.port: is 0 (allowed: above 0)
    ```
    """

    file: str
    line: int
    key: str
    problem: str
    allowed: str = ''

    def __str__(self) -> str:
        """Return the fault as one line of text for the operator."""
        place = '{0}:{1}'.format(self.file, self.line)
        where = place if self.line else self.file
        parts = [where, self.key, self.problem]
        text = ': '.join(part for part in parts if part)
        if self.allowed:
            return '{0} (allowed: {1})'.format(text, self.allowed)
        return text
