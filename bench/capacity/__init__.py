"""Measures costs by size on one machine and extrapolates to the target."""
