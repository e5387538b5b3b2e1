"""The threaded HTTP server that all processes use."""
