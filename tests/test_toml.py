"""Tests of finding the line number of each key of a TOML document."""

import pytest

from figspread.config.toml import KeyPath, find_lines

TEXT = '''\
# [comment]
top = "a # b" # [x]
"quoted key".'other' = 1

text = """
[not.a.table]
no = 1
"""
[ table ] # end
list = [
  "]", # ]
  { a = 1 },
]
[[rows]]
id = 1
[rows.inner]
x = 2
[[rows]]
[[rows.subs]]
y = \'\'\'z'\'\'\'\'
after = 1
'''


@pytest.mark.parametrize(
    ('path', 'line'),
    [
        (('top',), 2),
        (('quoted key', 'other'), 3),
        (('text',), 5),
        (('table',), 9),
        (('table', 'list'), 10),
        (('rows', 0), 14),
        (('rows', 0, 'id'), 15),
        (('rows', 0, 'inner', 'x'), 17),
        (('rows', 1), 18),
        (('rows', 1, 'subs', 0, 'y'), 20),
        (('rows', 1, 'subs', 0, 'after'), 21),
    ],
)
def test_key_has_its_line(path: KeyPath, line: int) -> None:
    """Keys, tables and arrays of tables get the line that they start on."""
    assert find_lines(TEXT)[path] == line


def test_strings_and_comments_contain_no_keys() -> None:
    """Key-like text in strings and comments is not taken for a key."""
    assert not {('no',), ('comment',), ('not', 'a', 'table')} & set(
        find_lines(TEXT),
    )
