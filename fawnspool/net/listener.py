"""A listening socket that can be closed without losing a connection that the system has already accepted for it."""

from __future__ import annotations

import contextlib
import select
import socket as std_socket
import struct
from array import array
from typing import Any

from gevent import socket

BACKLOG = 2048
SO_TIMESTAMPNS = 35  # Linux: socket(7); connections inherit it from their listener
_SO_ATTACH_FILTER = 26  # Linux: socket(7)
# Classic BPF over the TCP header (bpf(4), linux/filter.h): drop packets with SYN and without ACK, pass all others.
_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_EQUAL = 0x15
_RETURN = 0x06
_TCP_FLAGS_OFFSET = 13
_SYN_ACK = 0x12
_SYN = 0x02
_DROP = 0
_PASS = 0xFFFFFFFF
_DROP_SYN = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_OFFSET),
    (_AND, 0, 0, _SYN_ACK),
    (_JUMP_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, _DROP),
    (_RETURN, 0, 0, _PASS),
)
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = struct.Struct("HP")


def bind(address: tuple[str, int]) -> Any:
    """Return a socket bound to `address`, not listening yet. Raises OSError with the address in its text."""
    sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"can't listen on {address[0]}:{address[1]}: {error.strerror}") from None
    return sock


def listen(sock: Any) -> None:
    """Start to accept connections."""
    with contextlib.suppress(OSError):  # without timestamps, a request's arrival time is the time it is read
        sock.setsockopt(std_socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    sock.listen(BACKLOG)


def refuse_connections(sock: Any) -> bool:
    """Drop the first packet (SYN) of each new connection from now on.

    Handshakes in progress still complete. As no connection is added to the queue after them, the caller can accept all
    queued connections before it closes the socket. A close alone would reset the queued connections, and without the
    filter, a connection could still be queued between the last check of the queue and the close.

    Returns
    -------
    bool
        False if the system does not support such a filter.
    """
    code = b"".join(_INSTRUCTION.pack(*instruction) for instruction in _DROP_SYN)
    instructions = array("B", code)
    address, _ = instructions.buffer_info()
    program = _PROGRAM.pack(len(_DROP_SYN), address)
    try:
        sock.setsockopt(std_socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:
        return False
    return True


def has_queued(sock: Any) -> bool:
    """Return whether connections wait to be accepted."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return any(events & select.POLLIN for _, events in poll.poll(0))


def parse_address(text: str) -> tuple[str, int]:
    """Return ("127.0.0.1", 80) for "127.0.0.1:80"."""
    host, _, port = text.rpartition(":")
    return host, int(port)
