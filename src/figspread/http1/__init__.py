"""HTTP/1.1 over asyncio, for connections of callers and to upstreams.

h11 does the parsing. CherryPy's server is not used here because it reads
chunked bodies as a whole, detects a disconnected caller only at the next write
and passes each chunk from one thread to another.
"""
