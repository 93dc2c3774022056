"""HTTP framing, sockets, connection pools and deadlines; this package knows nothing of volumes, nodes or scheduling."""
