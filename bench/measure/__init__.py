"""Comparisons of policies under load on fleets of stand-in engines."""
