"""The process that the platform starts."""

import os
import signal
import sys
from typing import Any

# A configuration may be replaced while this process still loads: that must not end it, nor be missed.
early_signals: list[Any] = []
signal.signal(signal.SIGHUP, lambda number, frame: early_signals.append(number))

from fawnspool.relay.process import main  # noqa: E402 - the handler must stand before this takes its time

sys.exit(main(os.environ, early_signals))
