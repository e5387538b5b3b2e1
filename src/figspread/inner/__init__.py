"""The protocol that figspread's processes speak over web sockets.

Entries, agents and direct entries exchange its messages. It encodes, connects
and detects silence; what a message leads to is decided by its users.
"""
