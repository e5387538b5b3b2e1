"""What an entry knows: upstreams and their load, configuration, waiting requests."""
