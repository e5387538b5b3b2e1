"""HTTP/1.1 over asyncio, for connections of callers and to upstreams.

Direct entries use it, and so does the Gift Wrap adapter's client of the store.
It frames and parses; what a request means is never its concern. h11 does the
parsing. CherryPy's server is not used here because it reads chunked bodies as a
whole, detects a disconnected caller only at the next write and passes each
chunk from one thread to another.
"""
