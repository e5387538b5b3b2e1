"""A crowd of callers that hold connections back must not keep others out.

Such crowds took all descriptors and the memory of a process.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from figspread.clock import ManualClock
from figspread.http1.connection_table import (
    HELD_BACK_S,
    ConnectionState,
    ConnectionTable,
)

IDLE = ConnectionState.IDLE
RECEIVING = ConnectionState.RECEIVING
SERVING = ConnectionState.SERVING
BLOCKED = ConnectionState.BLOCKED
CLOSING = ConnectionState.CLOSING
NEW = 'new'


def _make_table(
    *states: ConnectionState, age_s: float
) -> tuple[ConnectionTable[str], ManualClock]:
    """Return a full table, with a connection for each of the states."""
    clock = ManualClock()
    table = ConnectionTable[str](clock.now, limit=len(states))
    for number, state in enumerate(states):
        conn = '{0} {1}'.format(state.value, number)
        assert table.add(conn) is None
        table.move(conn, state)
    clock.advance(age_s)
    return table, clock


@pytest.mark.parametrize(
    ('states', 'age_s', 'closed'),
    [
        # Whoever has its last answer needs the connection least.
        ((RECEIVING, IDLE, CLOSING, SERVING), HELD_BACK_S, 'closing 2'),
        # A request that is held back gives way before a caller that waits.
        ((IDLE, SERVING, RECEIVING), HELD_BACK_S, 'receiving 2'),
        # One that has just begun to arrive does not.
        ((RECEIVING, IDLE, SERVING), HELD_BACK_S / 2, 'idle 1'),
        ((RECEIVING, SERVING), HELD_BACK_S / 2, 'receiving 0'),
        # A caller that reads nothing gives way only after a while.
        ((BLOCKED, SERVING), HELD_BACK_S, 'blocked 0'),
        ((BLOCKED, SERVING), HELD_BACK_S / 2, NEW),
        # The longest first.
        ((IDLE, IDLE), 0, 'idle 0'),
        ((RECEIVING, RECEIVING), HELD_BACK_S, 'receiving 0'),
        # Whole requests are never cut for a new connection.
        ((SERVING, SERVING), HELD_BACK_S, NEW),
    ],
)
def test_connection_without_a_whole_request_gives_way(
    states: tuple[ConnectionState, ...], age_s: float, closed: str
) -> None:
    """A new connection comes at a full table."""
    table, _ = _make_table(*states, age_s=age_s)
    assert table.add(NEW) == closed
    assert len(table) == len(states)


def test_ordinary_caller_gets_in_among_a_crowd_of_any_size() -> None:
    """Members that were closed return at once, and hold back again."""
    clock = ManualClock()
    table = ConnectionTable[str](clock.now, limit=20)
    for number in range(2000):
        if number % 50 == 0:
            clock.advance(HELD_BACK_S)
            assert table.add('ordinary') != 'ordinary'
            # Its request arrives at once.
            table.move('ordinary', SERVING)
        member = 'member {0}'.format(number)
        assert table.add(member) not in {'ordinary', member}
        table.move(member, RECEIVING)
        assert len(table) <= 20
        if number % 50 == 49:
            table.remove('ordinary')


@given(
    st.lists(
        st.tuples(st.integers(0, 30), st.sampled_from(ConnectionState)),
        max_size=200,
    )
)
def test_number_of_connections_is_bounded(
    moves: list[tuple[int, ConnectionState]],
) -> None:
    """Whatever the connections do, and in whatever order."""
    clock = ManualClock()
    table = ConnectionTable[int](clock.now, limit=8)
    for conn, state in moves:
        clock.advance(0.1)
        if conn not in table.list_connections():
            table.add(conn)
        table.move(conn, state)
        assert len(table) <= 8
        assert sum(map(table.count, ConnectionState)) == len(table)
    for conn in table.list_connections():
        table.remove(conn)
    assert not len(table)
