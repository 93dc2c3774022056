"""What the services' stand-ins share: one address, gone and back again at it."""

from __future__ import annotations

from fawnspool.net.exchange import Exchange
from fawnspool.net.server import Server
from fawnspool.net.server_options import ServerOptions


class Service:
    """Listens at `where` from the start."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.where = address
        self.server: Server | None = None
        self.start()

    def start(self) -> None:
        if self.server is None:
            self.server = Server(
                self.where, self._handle, ServerOptions(idle_timeout_s=120.0, first_request_timeout_s=120.0)
            )
            self.where = self.server.address
            self.server.start()

    def gone(self) -> None:
        """Out of reach: nothing listens, what was open is reset."""
        if self.server is not None:
            self.server.reset_all()
            self.server.stop()  # also the greenlet that accepts: until it is gone, the address is taken
            self.server = None
            self._left()

    def stop(self) -> None:
        self.gone()

    def _handle(self, exchange: Exchange) -> None:
        raise NotImplementedError

    def _left(self) -> None:
        """Whoever watched is gone."""
