"""Shows where a played day lost requests, from the entries' log lines.

It reads the output of a play with the logs of all entries and never the bench's
own report, so it works on the logs of a real deployment too.
"""
