"""Which modules the live gateway's program imports."""

from __future__ import annotations

import json
import subprocess
import sys

PROGRAM = "fawnspool.relay.process"
_CODE = f"""
import json, sys
import {PROGRAM}
print(json.dumps([name for name in sys.modules if name.startswith("fawnspool.")]))
"""


def modules_of_run() -> list[str]:
    done = subprocess.run([sys.executable, "-c", _CODE], capture_output=True, text=True, check=True)
    modules: list[str] = json.loads(done.stdout)
    assert PROGRAM in modules and "fawnspool.gateway.core" in modules
    return modules
