"""The edge for the platform's protocol; like `api`, it uses the gateway core and makes no scheduling decisions.

Only this package uses the protocol's own names. Where the protocol says "shelf", the other packages say "node"; "block"
is a shard, "siblings" are the gateways of the fleet, "grades" the plans of volumes, and "localities" zones.
"""
