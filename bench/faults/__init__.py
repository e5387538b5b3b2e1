"""Fault cases against real entries, agents and stand-ins.

`scripts/faults` runs them and tests run two of them. Each case injects one kind
of fault and counts calls that were doubled, lost or left over.
"""
