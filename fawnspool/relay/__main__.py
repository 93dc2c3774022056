import os
import sys

from fawnspool.relay.program import main

sys.exit(main(os.environ))
