"""Entry point of the gateway process that the platform starts."""

import os
import signal
import sys
from typing import Any

# The configuration may be replaced while this process is loading. The SIGHUP must neither end the process nor be lost.
early_signals: list[Any] = []
signal.signal(signal.SIGHUP, lambda number, frame: early_signals.append(number))

from fawnspool.relay.process import main  # noqa: E402 - the handler must be set before this slow import

sys.exit(main(os.environ, early_signals))
