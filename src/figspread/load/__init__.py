"""The load tool: sends a planned load to an entry and reports on it."""
