"""Finds the route of a request, and selects a service of the route."""

import random
from collections import defaultdict
from collections.abc import Iterable

from figspread.direct.model import Route
from figspread.ids import ServiceName


class RouteTable:
    """Finds routes by host and longest path prefix.

    Prefixes begin and end with a slash, so one lookup for each directory of
    the path finds the longest, independent of the number of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        """Index `routes`; of two with the same host and prefix the later wins."""
        self._hosts: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._hosts[route.host.lower()][route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or `None`."""
        routes = self._hosts.get(_host_name(host))
        if routes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def choose_service(route: Route, rng: random.Random) -> ServiceName | None:
    """Return a random service of the route by weight, or `None`.

    Services with weight 0 are never selected.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if not shares:
        return None
    weights = [share.weight for share in shares]
    return rng.choices(shares, weights)[0].service


def _host_name(host: str) -> str:
    name, colon, port = host.rpartition(':')
    return (name if colon and port.isdecimal() else host).lower()
