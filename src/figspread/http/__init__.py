"""The threaded HTTP server of entries and stand-ins, and client connections.

Callers' pages of the entry, the operator pages of entries and agents, and the
stand-ins are served by it. Clients of `urllib3` take their connections from
`figspread.http.client`. Direct entries use `figspread.http1` instead of both. It
knows no routes and no outcomes.
"""
