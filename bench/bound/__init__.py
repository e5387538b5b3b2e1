"""Offline model of the worth that a day of heavy load can earn at best."""
