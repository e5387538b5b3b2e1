"""Measures how soon many processes apply a new configuration."""
