"""The agent: the process beside an upstream, and its only client."""
