"""Offline model of the worth that a day of heavy load can earn at best.

`python -m bench.bound` plays the users' load on simulated engines with the
product's own placement. It has no network and no faults.
"""
