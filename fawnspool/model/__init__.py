"""The world as modelled: no sockets, no clock. Driven by calls, so that stand-ins and simulations share it."""
