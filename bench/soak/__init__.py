"""A soak of real entries on the platform's stand-ins, with faults by seed."""
