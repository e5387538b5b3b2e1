"""Comparisons of policies under load on fleets of stand-in engines.

`scripts/measure` starts real processes for each row of docs/MEASUREMENTS.md. Its
figures are ratios between rows of one table, never absolute.
"""
