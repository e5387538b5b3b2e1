"""Updates of the configuration that a process uses."""

from figspread.config.document import dump_fleet
from figspread.config.fleet import Fleet
from figspread.config.holder import FleetHolder


def _apply(holder: FleetHolder, number: int) -> None:
    assert holder.apply_if_newer(dump_fleet(Fleet(number=number))).is_ok()


def test_listener_never_gets_an_older_configuration() -> None:
    """A newer update that overtakes an older one is the last that is told.

    A listener that applied the older one would keep it in force for ever. Here
    the first listener applies the newer one before the second is called; two
    threads can do the same.
    """
    holder = FleetHolder()
    told: list[int] = []

    def apply_second(fleet: Fleet) -> None:
        if fleet.number == 1:
            _apply(holder, 2)

    holder.subscribe(apply_second)
    holder.subscribe(lambda fleet: told.append(fleet.number))
    _apply(holder, 1)
    assert told == [2]
    _apply(holder, 3)
    assert told == [2, 3]
