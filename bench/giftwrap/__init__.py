"""Stand-ins for the Gift Wrap platform: its store, upstreams and callers."""
