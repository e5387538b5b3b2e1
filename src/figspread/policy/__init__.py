"""Policies for routing, admission, queueing, limits and retries.

Entries and agents decide with it. It does no I/O and reads no clock of its own,
so each policy is tested without a network; each module names the load that it
answers.
"""
