"""The entry: the front process that serves callers' HTTP requests.

Callers speak to it, through the platform's balancer. It admits, claims, routes
and relays, and reaches upstreams only through their agents.
"""
