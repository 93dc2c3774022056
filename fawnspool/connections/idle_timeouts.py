"""Timeouts of connections that carry no request."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 2.2  # for a request to begin on a new connection, and to arrive fully; the platform allows 2 to 3 s
CLIENT_IDLE_TIMEOUT_S = 4.0  # longer than for a new connection, as most clients reuse one that has carried a request
NODE_IDLE_FRACTION = 0.8  # of the nodes' idle timeout, so that no request is sent while the node closes the connection
NODE_COOLDOWN_S = 0.02  # before a node connection is reused; a second answer may follow the first some ms later
