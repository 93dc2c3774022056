"""One live head: configuration, core, discovery and front put together, and the signals that the platform sends."""

from __future__ import annotations

import gc
import math
import signal
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import Event

from fawnspool.connections.config_reload import retry_delay_s
from fawnspool.connections.descriptor_limits import divide_descriptors
from fawnspool.connections.idle_timeouts import NODE_COOLDOWN_S, NODE_IDLE_FRACTION
from fawnspool.connections.shutdown import shutdown_schedule
from fawnspool.gateway.core import Core
from fawnspool.net.connection_pool import PoolOptions
from fawnspool.relay.config import ConfigError, RelayConfig, load
from fawnspool.relay.discovery import Discovery
from fawnspool.relay.node_client import ShelfSpeech
from fawnspool.relay.request_handler import Front
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry import logs
from fawnspool.telemetry.sums import Sums

# PROTOCOL, Figures: after SIGTERM new connections come for 0.4 s at most, kept ones are used as long as they stay open,
# and SIGKILL comes after the longest deadline, counted as 3 s at most, and 0.7 s more.
NEW_S, COUNTED_S, MORE_S = 0.4, 3.0, 0.7
TELL_S = 5.0  # between two lines of state in the log
_STEP = 0.02


class Program:
    """The head that `run` starts."""

    def __init__(self, config: RelayConfig, path: str, environ: Mapping[str, str]) -> None:
        self.config, self.path, self.environ = config, path, environ
        self.log = logs.get(head=config.name)
        s = config.settings
        bounds = divide_descriptors(config.sockets, s.shard_count)
        self.core = Core(
            s,
            Scheduler(s, config.seed),
            ShelfSpeech(s),
            PoolOptions(
                bounds.per_node,
                s.connect_timeout_s or 0.25,
                NODE_IDLE_FRACTION * config.idle_close,
                lenient=True,
                cooldown_s=NODE_COOLDOWN_S,
            ),
            Sums(),
            self.log,
        )
        self.discovery = self.core.list = Discovery(
            config.discovery, config.zones, config.kinds, self.core.loop.tell, self.log, self.free_descriptor
        )
        self.front = Front(self.core, s, config.listen, bounds, config.memory)
        self.ended = Event()
        self.teller: Any = None

    def start(self) -> None:
        self.core.start()
        self.discovery.start(self.config.known)
        self.front.start()
        self.teller = gevent.spawn(self._tell)

    def _tell(self) -> None:
        """Now and then a line of what the head has done and believes, to be held against what its peers saw."""
        before: dict[str, float] = {}
        while True:
            gevent.sleep(TELL_S)
            now = self.figures()
            self.log.info(
                "state",
                connections=len(self.front.server.connections),
                in_hand=len(self.front.open),
                to_shelfs=sum(p.open_count for p in self.core.pools.values()),
                **{k: round(v - before.get(k, 0), 4) for k, v in now.items() if v != before.get(k, 0)},
                nodes=self.nodes(),
            )
            before = now

    def figures(self) -> dict[str, float]:
        """Sums since the start: requests by outcome, attempts by result, malformed ones by status, time by use."""
        m, out = self.core.metrics, dict[str, float]()
        rows: list[tuple[str, float]] = [(f"request {o}", n) for (_, _, o), n in m.requests.items()]
        rows += [(f"attempt {r}", n) for (_, r), n in m.attempts.items()]
        rows += [(f"attempt ended: {how}", n) for how, n in m.endings.items()]
        rows += [(f"bad {status}", n) for status, n in m.bad_requests.items()]
        rows += [(f"{outcome}: {why}", n) for (outcome, why), n in m.reasons.items()]
        rows += [(f"closed {state}: {why}", n) for (state, why), n in self.front.server.closed_counts.items()]
        rows += [("accepted", self.front.server.accepted)]
        rows += [
            ("module_s", m.module_seconds),
            ("events", m.module_events),
            ("errors", m.module_errors),
            ("overdue", m.overdue),
            ("lag_s", m.lag.total),
            ("cpu_s", time.process_time()),
        ]
        for name, value in rows:
            out[name] = out.get(name, 0.0) + value
        return out

    def nodes(self) -> list[str]:
        """A few words a node: cell, state, bound, held and out, mean response and wait in milliseconds."""
        return [
            f"{x.shard}:{'sound' if x.is_available() else 'trials'}"
            f"{'' if x.slow_start.started_at is None else ' cold'} "
            f"b{x.concurrency.limit:.1f} h{x.queue.queued} o{len(x.in_flight)} "
            f"r{x.response_times.mean_s * 1000:.0f} w{x.response_times.wait_s * 1000:.0f}"
            for x in self.core.loop.module.node_queues.values()
            if x.node is not None
        ]

    def free_descriptor(self) -> bool:
        """Close a connection that can be spared, a client's or one to a shelf: its descriptor is needed more."""
        return self.front.server.evict_waiting() or self.core.close_one_idle()

    def reload(self) -> None:
        """SIGHUP: the file was replaced. What can change under load is where discovery is; the rest needs a restart."""
        try:
            new = read_whole(self.path, self.environ, self.free_descriptor)
        except ConfigError as bad:
            self.log.error("the new configuration is not taken", error=str(bad))
            return
        if new.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=new.discovery)
            self.discovery.move(new.discovery)

    def drain(self) -> None:
        """SIGTERM, SIGINT: go on serving the clients that still come, as nobody else has what their volumes need, until
        the time that the platform leaves is nearly over; then refuse new connections, let the kept ones go, answer
        what is in hand, and end. It ends when no connection is open, not when no request is known: what a connection
        that has just been accepted brings is known a moment later."""
        if self.front.until < math.inf:
            return  # told before: a second signal gives no more time
        told, server = time.monotonic(), self.front.server
        longest = max(c.deadline_s for c in self.config.settings.classes)
        end = shutdown_schedule(told, NEW_S, MORE_S + min(COUNTED_S, longest))
        self.front.until = end.answered_by
        server.options.crowded_from = None  # new connections end soon: from now on every kept one is needed
        self._log_step("ending")
        _wait_until(end.refuse_at, lambda: time.monotonic() >= end.unused_from and not server.connections)
        server.draining = True
        self._log_step("new connections are refused")
        server.stop_accepting(end.close_idle_at)
        _wait_until(end.close_idle_at, lambda: not server.connections)
        self._log_step("idle connections are closed")
        server.drain(end.answered_by)
        _wait_until(end.answered_by, lambda: not server.connections)
        self.front.end_all()
        server.end_reading()
        _wait_until(end.exit_by, lambda: not server.connections)
        self._log_step("ended", after_s=round(time.monotonic() - told, 2))
        self.ended.set()

    def _log_step(self, step: str, **more: Any) -> None:
        server = self.front.server
        self.log.info(
            step,
            in_hand=len(self.front.open),
            connections=len(server.connections),
            states=server.states(),
            accepted=server.accepted,
            **more,
        )

    def stop(self) -> None:
        self.teller.kill()
        self.front.server.stop()
        self.discovery.stop()
        self.core.stop()
        self.log.info("stopped", **{k: v for k, v in self.figures().items() if k.startswith("closed ")})


def _wait_until(end: float, done: Callable[[], bool]) -> None:
    """Until `done()`, or the monotonic time `end`."""
    while time.monotonic() < end and not done():
        gevent.sleep(_STEP)


def read_whole(
    path: str, environ: Mapping[str, str], free_descriptor: Callable[[], bool] = lambda: False
) -> RelayConfig:
    """The configuration, read again while it may just be written. Raises ConfigError."""
    tries = 0
    while True:
        try:
            return load(path, environ)
        except ConfigError as bad:
            if bad.no_descriptor and free_descriptor():
                continue
            tries += 1
            pause = retry_delay_s(tries) if bad.not_whole else None
            if pause is None:
                raise
            gevent.sleep(pause)


def main(environ: Mapping[str, str], early: Sequence[Any] = ()) -> int:
    """Run until SIGTERM or SIGINT; the program's exit status. early: SIGHUPs that came before their handler stood."""
    logs.set_up("json")
    log: Any = logs.get()
    path = environ.get("RELAY_CONFIG", "")
    try:
        program = Program(read_whole(path, environ), path, environ)
    except ConfigError as bad:
        log.error("can't start", error=str(bad))
        return 2
    except OSError as bad:
        log.error("can't start", error=bad.strerror or str(bad))
        return 3
    gevent.signal_handler(signal.SIGHUP, program.reload)
    gevent.signal_handler(signal.SIGTERM, program.drain)
    gevent.signal_handler(signal.SIGINT, program.drain)
    try:
        program.start()  # it listens from now on, and heeds signals before
    except OSError as bad:
        log.error("can't start", error=bad.strerror or str(bad))
        return 3
    if early:
        gevent.spawn(program.reload)  # the file may have been replaced behind our first reading
    program.log.info("serving", listen="{}:{}".format(*program.config.listen), sockets=program.config.sockets)
    gc.collect()
    gc.freeze()  # what stands now is never garbage: full collections look at the rest alone
    gc.set_threshold(20_000, 20, 50)
    program.ended.wait()
    program.stop()
    return 0
