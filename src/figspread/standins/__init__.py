"""Stand-ins for engines, services and platform APIs, for tests and demos.

Tests, `scripts/demo` and the measurements start them. No product process
imports this package.
"""
