"""The entry: the front process that serves callers' HTTP requests."""
