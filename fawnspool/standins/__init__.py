"""Stand-ins for what a head works with: nodes, the node list, the meter, the catalogue, clients. Lean by intent."""
