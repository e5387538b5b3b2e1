"""HTTP clients for engines and plain services.

Agents call them; entries reach upstreams through agents and never through this
package. It sends what it is told and decides nothing: no retries, no queue.
"""
