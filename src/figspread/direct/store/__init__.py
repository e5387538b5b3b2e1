"""Reads the platform's store, and registers the entry there."""
