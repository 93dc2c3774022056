"""The gateway process that the platform starts: creates its parts and handles the platform's signals."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import gevent
from gevent.event import Event

from fawnspool.connections.config_reload import retry_delay_s
from fawnspool.connections.descriptor_account import DescriptorUse
from fawnspool.connections.descriptor_limits import divide_descriptors
from fawnspool.connections.idle_timeouts import NODE_COOLDOWN_S, NODE_IDLE_FRACTION
from fawnspool.connections.resource_budget import AT_REST_BYTES
from fawnspool.gateway.core import GatewayCore
from fawnspool.gateway.observability import Observability
from fawnspool.net.connection_pool import PoolOptions
from fawnspool.net.descriptor_gate import DescriptorGate
from fawnspool.relay.config import CONFIG_VARIABLE, RelayConfig, load
from fawnspool.relay.discovery import DiscoveryClient, EndpointNames
from fawnspool.relay.errors import ConfigError, IncompleteConfigError, NoDescriptorLeftError
from fawnspool.relay.graceful_shutdown import GracefulShutdown
from fawnspool.relay.node_client import RelayNodeProtocol
from fawnspool.relay.request_handler import RequestHandler
from fawnspool.relay.resource_limits import ProcessLimits, ResourceLimits
from fawnspool.relay.snapshots import (
    CounterSnapshot,
    LogFields,
    MemorySnapshot,
    NodeSnapshot,
    changes,
    count_now,
    descriptors_now,
    nodes_now,
)
from fawnspool.scheduling.scheduler import Scheduler
from fawnspool.telemetry import logs
from fawnspool.telemetry.counters import GatewayCounters
from fawnspool.telemetry.process_memory import resident_bytes

STATE_LOG_INTERVAL_S = 5.0
_DEFAULT_CONNECT_TIMEOUT_S = 0.25
_BAD_CONFIG_STATUS = 2
_CANNOT_LISTEN_STATUS = 3
# Garbage collections of the oldest generation pause the process longest and free little, as its objects are mostly
# long-lived, so the third threshold makes them rare.
_COLLECTION_THRESHOLDS = (20_000, 20, 50)


class RelayProcess:
    """The gateway that `python -m fawnspool.relay` runs.

    Attributes
    ----------
    ended
        Event that is set when the gateway has shut down.
    """

    def __init__(self, config: RelayConfig, path: str, environ: Mapping[str, str]) -> None:
        self.config = config
        self.path = path
        self.environ = environ
        self.log = logs.get(head=config.name)
        settings = config.settings
        connection_limits = divide_descriptors(config.max_descriptors, settings.shard_count)
        self.descriptors = DescriptorGate(connection_limits.shares)
        process_limits = ProcessLimits(config.memory_bytes, resident_bytes() or AT_REST_BYTES, connection_limits)
        budget = process_limits.divide(hosts=0)
        self.scheduler = Scheduler(settings, config.seed)
        self.scheduler.limit_volumes(budget.volumes)
        self.counters = GatewayCounters()
        self.core = GatewayCore(
            settings,
            self.scheduler,
            RelayNodeProtocol(settings),
            PoolOptions(
                connection_limits.per_node,
                settings.connect_timeout_s or _DEFAULT_CONNECT_TIMEOUT_S,
                NODE_IDLE_FRACTION * config.node_idle_timeout_s,
                lenient=True,
                cooldown_s=NODE_COOLDOWN_S,
                max_with_spares=connection_limits.max_with_spares_per_node,
            ),
            Observability(self.counters, self.log),
        )
        self.core.limit_answers(budget.answers)
        self.core.limit_descriptors(self.descriptors)
        self.discovery = DiscoveryClient(
            config.discovery,
            EndpointNames(config.zones, config.node_kinds),
            self.core.loop.post,
            self.log,
            self.descriptors,
        )
        self.discovery.limit_memory(budget.endpoint_list)
        self.discovery.wait_until_handled = self.core.loop.wait_until_handled
        self.core.endpoints = self.discovery
        self.handler = RequestHandler(self.core, settings, config.listen, budget, self.descriptors)
        self.resource_limits = ResourceLimits(process_limits, self.core, self.handler, self.discovery)
        self.core.further_checks += [self.handler.request_memory.check, self.resource_limits.check]
        longest_deadline_s = max(request_class.deadline_s for request_class in settings.classes)
        self.shutdown = GracefulShutdown(self.handler, longest_deadline_s, self.log)
        self.ended = Event()
        self.state_logger: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start all parts; from then on the server accepts clients' connections."""
        self.core.start()
        self.discovery.start(self.config.known_endpoints)
        self.handler.start()
        self.state_logger = gevent.spawn(self._log_states)

    def stop(self) -> None:
        """Stop all parts immediately."""
        if self.state_logger is not None:
            self.state_logger.kill()
        self.handler.server.stop()
        self.discovery.stop()
        self.core.stop()
        self.log.info("stopped", **self.count().closing_fields())

    # ------------------------------------------------------------ state for operators

    def count(self) -> CounterSnapshot:
        """Return the totals since the start."""
        return count_now(self.counters, self.handler.server)

    def nodes(self) -> list[NodeSnapshot]:
        """Return the scheduler's view of its nodes."""
        return nodes_now(self.scheduler)

    def memory(self) -> MemorySnapshot:
        """Return what the process holds."""
        requests, answers = self.handler.request_memory, self.core.answer_memory
        assert answers is not None
        return MemorySnapshot(
            resident_bytes=resident_bytes(),
            request_bytes=requests.account.used_bytes,
            request_peak_bytes=requests.account.peak_bytes,
            answer_bytes=answers.account.used_bytes,
            answer_peak_bytes=answers.account.peak_bytes,
            refused=requests.refused + answers.refused,
            shed=requests.shed_count + answers.shed_count,
            volumes=len(self.scheduler.rate_limits.limiters),
        )

    def _log_states(self) -> None:
        """Periodically log the gateway's totals and its view of nodes, for comparison with its peers' observations."""
        previous: LogFields = {}
        while True:
            gevent.sleep(STATE_LOG_INTERVAL_S)
            current = self.count().log_fields()
            self.log.info(
                "state",
                connections=len(self.handler.server.connections),
                in_hand=len(self.handler.open),
                to_shelfs=self.core.pools.open_connections(),
                **descriptors_now(self.descriptors).log_fields(),
                **changes(current, previous),
                worst_lag_s=round(self.counters.worst_lag_s, 4),
                **self.memory().log_fields(),
                nodes=[node.text() for node in self.nodes()],
            )
            previous = current
            self.counters.worst_lag_s = 0.0

    # ------------------------------------------------------------ descriptors and signals

    def free_descriptor(self) -> bool:
        """Close an unused connection for a file that has no descriptor; False: there is none."""
        return self.descriptors.make_room(DescriptorUse.SERVICE)

    def reload(self) -> None:
        """Read the configuration file again (on SIGHUP).

        A new discovery address applies at once, other changes only after a restart.
        """
        try:
            new = read_config(self.path, self.environ, self.free_descriptor)
        except ConfigError as error:
            self._log_rejected(error)
            return
        if new.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=new.discovery)
            self.discovery.move(new.discovery)

    def _log_rejected(self, error: ConfigError) -> None:
        self.log.error("config_rejected", error=str(error))

    def drain(self) -> None:
        """Shut down gracefully (on SIGTERM or SIGINT); a second signal changes nothing."""
        if self.shutdown.has_begun:
            return
        self.shutdown.run()
        self.ended.set()


def read_config(
    path: str, environ: Mapping[str, str], free_descriptor: Callable[[], bool] = lambda: False
) -> RelayConfig:
    """Read the configuration; retry while it may be incomplete because it is being written.

    Raises
    ------
    ConfigError
        The configuration is invalid or can't be read.
    """
    incomplete_reads = 0
    while True:
        try:
            return load(path, environ)
        except NoDescriptorLeftError:
            if not free_descriptor():
                raise
        except IncompleteConfigError:
            incomplete_reads += 1
            pause_s = retry_delay_s(incomplete_reads)
            if pause_s is None:
                raise
            gevent.sleep(pause_s)


def main(environ: Mapping[str, str], early_signals: Sequence[Any] = ()) -> int:
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    environ
        Environment variables, which name the configuration file.
    early_signals
        SIGHUPs that arrived before `main` set the handler that reloads the configuration.

    Returns
    -------
    int
        The process' exit status.
    """
    logs.set_up("json")
    path = environ.get(CONFIG_VARIABLE, "")
    try:
        process = RelayProcess(read_config(path, environ), path, environ)
    except ConfigError as error:
        return _report_start_failure(str(error), _BAD_CONFIG_STATUS)
    except OSError as error:
        return _report_start_failure(error.strerror or str(error), _CANNOT_LISTEN_STATUS)
    gevent.signal_handler(signal.SIGHUP, process.reload)
    gevent.signal_handler(signal.SIGTERM, process.drain)
    gevent.signal_handler(signal.SIGINT, process.drain)
    try:
        process.start()  # after the signal handlers are set, so that no signal is lost once clients are served
    except OSError as error:
        return _report_start_failure(error.strerror or str(error), _CANNOT_LISTEN_STATUS)
    reloader = gevent.spawn(process.reload) if early_signals else None
    host, port = process.config.listen
    process.log.info("serving", listen=f"{host}:{port}", sockets=process.config.max_descriptors)
    _tune_collections()
    process.ended.wait()
    if reloader is not None:
        reloader.kill()
    process.stop()
    return 0


def _report_start_failure(error: str, status: int) -> int:
    logs.get().error("start_failed", error=error)
    return status


def _tune_collections() -> None:
    """Exclude all current objects, which live as long as the process, from later collections, and make those rarer."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECTION_THRESHOLDS)
