"""Assembles an entry, starts and stops it."""
