"""What a process does for the whole fleet: leases, claims, configurations.

Entries hold leases, claim idempotency keys, clean up and spread configurations
with it; the operator's command commits release notes. It never handles a
caller's request and keeps nothing beyond the platform's store.
"""
