"""Base class of the inner protocol's messages."""

import msgspec


class Message(msgspec.Struct, frozen=True, tag=True, tag_field='type'):
    """Base of all messages; the class name is sent in the field `type`."""
