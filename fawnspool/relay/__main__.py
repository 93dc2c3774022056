import os
import signal
import sys
from typing import Any

# A configuration may be replaced while this process still loads: that must not end it, nor be missed.
early = list[Any]()
signal.signal(signal.SIGHUP, lambda number, frame: early.append(number))

from fawnspool.relay.process import main  # noqa: E402

sys.exit(main(os.environ, early))
