"""An entry that connects to upstreams directly, without agents.

It serves deployments whose VMs have no room for agents. Requests arrive over
`figspread.http1`, are placed by the load that this and the other entries have
already placed, and are relayed. An adapter outside this package decodes the
platform's own names and formats; none of them appear here.
"""
