"""Tests of ports that are reserved for processes under test."""

import socket
from contextlib import closing

import pytest
from bench.ports import HOST, PortReservations

PORTS = range(19_000, 19_002)


def test_reserved_port_is_given_only_once() -> None:
    """Another test run can't get the port before a process listens on it."""
    with (
        closing(PortReservations(PORTS)) as ours,
        closing(PortReservations(PORTS)) as theirs,
    ):
        assert {ours.reserve(), theirs.reserve()} == set(PORTS)
        with pytest.raises(OSError, match='no free port'):
            theirs.reserve()


def test_server_can_listen_on_reserved_port_again() -> None:
    """A process that restarts gets its port, which stays reserved meanwhile."""
    with (
        closing(PortReservations()) as ours,
        closing(PortReservations()) as theirs,
    ):
        port = ours.reserve()
        for _ in range(2):
            with (
                socket.create_server((HOST, port)) as server,
                socket.create_connection((HOST, port)),
            ):
                server.accept()[0].close()
        theirs_port = theirs.reserve()
        assert theirs_port != port


def test_closed_reservation_frees_port() -> None:
    """The ports of a test that has ended can be reserved again."""
    with closing(PortReservations(PORTS[:1])) as ours:
        ours.reserve()
    with closing(PortReservations(PORTS[:1])) as theirs:
        assert theirs.reserve() == PORTS[0]
