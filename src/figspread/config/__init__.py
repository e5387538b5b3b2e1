"""Settings of a process, release notes and the fleet's configuration.

The programs read their settings with it, the operator's command checks notes
with it, and entries and agents hold the configuration in force. It reads files
and documents and never calls the network.
"""
