"""Fault injection against real processes; run `python -m bench.faults`."""
