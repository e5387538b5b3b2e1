"""Soak test of entry processes against platform stand-ins with faults."""
