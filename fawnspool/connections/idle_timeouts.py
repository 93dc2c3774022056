"""How long connections are kept without a request."""

from __future__ import annotations

REQUEST_TIMEOUT_S = 2.2  # for a request to begin on a new connection, and to come whole; the platform allows 2 to 3 s
CLIENT_IDLE_TIMEOUT_S = 4.0  # usual clients come back to a connection that has carried a request
NODE_IDLE_FRACTION = 0.8  # of the time after which nodes close an idle connection: no request may cross that
NODE_COOLDOWN_S = 0.02  # a second answer may follow the first some milliseconds late: until then no request goes there
