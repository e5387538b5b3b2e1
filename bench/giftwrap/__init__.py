"""Stand-ins for the Gift Wrap platform's store, upstreams and callers.

Tests and the soak use them in one process. They follow the platform's protocol
as far as direct entries need it, and no more.
"""
