"""HTTP/1.1 over asyncio: callers' connections and upstreams' connections.

Parsing is h11's. CherryPy's server is not used here: it reads chunked bodies
whole, learns of a caller that has left at the next write only, and hands each
chunk from one thread to another.
"""
