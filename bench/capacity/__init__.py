"""Measures costs of entries and agents by size, and extrapolates.

`scripts/capacity` runs it for docs/CAPACITY.md. It covers the fleet with agents;
direct entries are measured by the users' own bench.
"""
