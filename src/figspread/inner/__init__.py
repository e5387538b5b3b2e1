"""The protocol that figspread's processes speak over web sockets."""
