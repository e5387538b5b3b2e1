"""Connections to the other entries, and what they tell each other."""
