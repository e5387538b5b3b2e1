"""The way of a request: admission, placing, attempts, retries, the response."""
