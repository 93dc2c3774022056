"""The edge for the platform's protocol, next to `api` on the same core; it makes no scheduling decisions.

Only this package uses the protocol's own names: its shelf is a node, its block a shard, its siblings are the gateways
of the fleet, its grades the plans of volumes, its localities zones.
"""
