"""Stand-ins for the Gift Wrap platform's store, upstreams and callers."""
