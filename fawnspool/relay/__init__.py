"""The edge for the platform's protocol, beside `api` on the same core. It never chooses.

The protocol's own names are read here and nowhere else: its shelf is a node, its block a shard, its siblings are the
gateways of the fleet, its grades the plans of volumes, its localities zones.
"""
