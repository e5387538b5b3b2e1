"""An entry that talks to upstreams itself, where no VM has room for agents.

Callers' requests come in over `figspread.http1`, are placed by what this and
the other entries have placed already, and are relayed. What the platform
calls things is decoded by an adapter outside this package.
"""
