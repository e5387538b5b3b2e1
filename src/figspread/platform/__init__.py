"""Clients of the platform's services: Object API, VM list, weight store.

Duties, entries and the operator's command call them. They translate answers and
errors into values and never retry by themselves. The Gift Wrap platform has an
adapter of its own outside this package.
"""
