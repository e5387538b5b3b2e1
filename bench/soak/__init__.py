"""Soak test of direct entries as processes, with faults drawn from seeds.

`scripts/soak` and CI run it against the stand-ins of `bench.giftwrap`. It checks
what callers and upstreams see and never reads the state of an entry.
"""
