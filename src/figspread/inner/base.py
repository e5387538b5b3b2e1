"""What all messages of the inner protocol have in common."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, tag_field='type'):
    """Base of all messages."""
