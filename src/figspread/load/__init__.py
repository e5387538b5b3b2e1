"""The load tool: sends a planned load to an entry and reports on it.

Only `figspread-load` and the measurements use it. It speaks the callers'
interface and never looks inside the fleet.
"""
