"""The agent: the process beside an upstream, and its only client.

Entries connect to it. It takes or refuses each attempt, queues and runs it and
keeps the registry of the engine's memory. It never talks to callers or to other
agents.
"""
