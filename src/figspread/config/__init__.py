"""Settings of a process, release notes and the fleet's configuration."""
