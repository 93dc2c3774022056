"""What the stand-ins of services share: an HTTP server that can go away and come back at its address."""

from __future__ import annotations

import time

from fawnspool.net.exchange import Exchange
from fawnspool.net.server import Server
from fawnspool.net.server_options import ServerOptions

LINE_TIMEOUT_S = 5.0
_SERVER_OPTIONS = ServerOptions(idle_timeout_s=120.0, first_request_timeout_s=120.0)


class Service:
    """A service that listens from its creation on.

    Attributes
    ----------
    address
        Where it listens; an ephemeral port is kept once chosen.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._server: Server | None = None
        self.start()

    def start(self) -> None:
        """Listen, unless it does already. Raises OSError."""
        if self._server is None:
            self._server = Server(self.address, self._handle, _SERVER_OPTIONS)
            self.address = self._server.address
            self._server.start()

    def stop(self) -> None:
        """Go out of reach: nothing listens, open connections are reset. `start` brings it back."""
        if self._server is not None:
            self._server.reset_all()
            self._server.stop()  # also the greenlet that accepts: until it is gone, the address is taken
            self._server = None
            self._drop_watchers()

    def _handle(self, exchange: Exchange) -> None:
        """Answer a request."""
        raise NotImplementedError

    def _drop_watchers(self) -> None:
        """Forget who watched."""


def send_line(exchange: Exchange, text: bytes = b"") -> None:
    """Send a line of a response in chunks; an empty one shows that the watch stands. Raises OSError."""
    exchange.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text), time.monotonic() + LINE_TIMEOUT_S)
