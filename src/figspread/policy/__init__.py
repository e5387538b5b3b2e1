"""Policies for routing, admission, queueing, limits and retries."""
