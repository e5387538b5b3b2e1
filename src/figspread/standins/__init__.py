"""Stand-ins for engines, services and platform APIs, for tests and demos."""
