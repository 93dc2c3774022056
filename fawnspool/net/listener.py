"""A listening socket: bound, and given up without losing a connection that the system has accepted for it."""

from __future__ import annotations

import contextlib
import ctypes
import select
import socket as std
import struct
from typing import Any

from gevent import socket

BACKLOG = 2048
SO_TIMESTAMPNS = 35  # Linux: socket(7); on a listener its connections inherit it
_SO_ATTACH_FILTER = 26  # Linux: socket(7)
# Classic BPF over the TCP header (bpf(4), linux/filter.h): drop what has SYN and not ACK, pass all else.
_LOAD_BYTE, _AND, _JUMP_EQUAL, _RETURN = 0x30, 0x54, 0x15, 0x06
_TCP_FLAGS, _SYN_ACK, _SYN = 13, 0x12, 0x02
_DROP_SYN = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS),
    (_AND, 0, 0, _SYN_ACK),
    (_JUMP_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, 0xFFFFFFFF),
)


def bind(address: tuple[str, int]) -> Any:
    """A socket bound to `address`; `listen` makes it take connections. Raises OSError naming the address."""
    sock = socket.socket(std.AF_INET, std.SOCK_STREAM)
    sock.setsockopt(std.SOL_SOCKET, std.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as bad:
        sock.close()
        raise OSError(bad.errno, f"can't listen on {address[0]}:{address[1]}: {bad.strerror}") from None
    return sock


def listen(sock: Any) -> None:
    """Take connections from now on."""
    with contextlib.suppress(OSError):  # without it a request counts from when it is read
        sock.setsockopt(std.SOL_SOCKET, SO_TIMESTAMPNS, 1)
    sock.listen(BACKLOG)


def refuse_connections(sock: Any) -> bool:
    """No new connection is begun from now on; handshakes under way still end, so that the queue can be emptied before
    the socket is closed. A close alone resets what lies in the queue, and no look at the queue comes without a gap
    before the close. False: the system offers no such filter."""
    code = b"".join(struct.pack("HBBI", *row) for row in _DROP_SYN)
    program = ctypes.create_string_buffer(code, len(code))
    try:
        sock.setsockopt(std.SOL_SOCKET, _SO_ATTACH_FILTER, struct.pack("HP", len(_DROP_SYN), ctypes.addressof(program)))
    except OSError:
        return False
    return True


def has_queued(sock: Any) -> bool:
    """Do connections wait to be accepted?"""
    look = select.poll()
    look.register(sock.fileno(), select.POLLIN)
    return any(event & select.POLLIN for _, event in look.poll(0))


def address(text: str) -> tuple[str, int]:
    """("127.0.0.1", 80) from "127.0.0.1:80"."""
    host, _, port = text.rpartition(":")
    return host, int(port)
