"""Offline model of the value that a day of heavy load can earn at best."""
