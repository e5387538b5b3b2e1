"""The threaded HTTP server of entries and stand-ins, and operator pages.

Callers' pages of the entry, the operator pages of entries and agents, and the
stand-ins are served by it. Direct entries use `figspread.http1` instead. It
knows no routes and no outcomes.
"""
