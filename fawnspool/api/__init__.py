"""The object API over HTTP, through which clients use a gateway."""
