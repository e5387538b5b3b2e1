"""Command lines of all programs.

Each program has a module here that reads its settings and starts the parts. It
holds no logic that another package could need.
"""
