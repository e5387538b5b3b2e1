"""Logs, metrics and traces.

All processes write through it. It never blocks a caller, and it carries nothing
that another process relies on.
"""
