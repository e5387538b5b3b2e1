"""Checks of network addresses that other programs state."""

from ipaddress import ip_address
from typing import Final

PORT_LIMIT: Final = 65_535
_MAX_PORT_DIGITS: Final = 5


def check_ip_address(host: str) -> str:
    """Return `host`, or raise `ValueError` unless it is an IP address."""
    try:
        ip_address(host)
    except ValueError:
        raise ValueError('must be an IP address') from None
    return host


def check_address(address: str) -> str:
    """Return `address`, or raise `ValueError` unless it is `ip:port`.

    An IPv6 address must be in brackets.
    """
    host, _, port = address.rpartition(':')
    is_number = port.isascii() and port.isdecimal()
    has_port = is_number and len(port) <= _MAX_PORT_DIGITS
    if not has_port or not 0 < int(port) <= PORT_LIMIT:
        raise ValueError('must be IP:PORT, with a port from 1 to 65535')
    is_bracketed = host.startswith('[') and host.endswith(']')
    if is_bracketed == (':' in host):
        check_ip_address(host.strip('[]'))
        return address
    raise ValueError('must be IP:PORT, with IPv6 addresses in brackets')
