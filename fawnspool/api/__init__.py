"""The object API over HTTP: the clients' side of a gateway."""
