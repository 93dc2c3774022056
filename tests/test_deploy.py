"""The platform's build and run commands: pinned packages only, and only the modules that the program needs."""

from __future__ import annotations

import os
import stat
import subprocess
import sys
import tomllib
from pathlib import Path

from fawnspool.adapter.settings import read_settings, read_tree
from tests.e2e.relayrig import SETTINGS

ROOT = Path(__file__).parent.parent
UNUSED_BY_RUN = {
    "asyncio",
    "concurrent",
    "ctypes",
    "email",
    "ipaddress",
    "multiprocessing",
    "pathlib",
    "pickle",
    "rich",
    "ssl",
    "structlog",
    "subprocess",
    "urllib",
    "uuid",
    "zipfile",
}
MAX_MODULES_OF_RUN = 250  # with the program's own; each takes some 10 to 100 KiB for good
IMPORT_CHECK = """
import sys
class AllowedModules:
    def find_spec(self, name, path=None, target=None):
        if name.split(".")[0] not in allowed and name.split(".")[0] not in sys.stdlib_module_names:
            raise ImportError(f"{name} is not installed")
allowed = set(sys.argv[2].split(",")) | {"fawnspool"}
sys.meta_path.insert(0, AllowedModules())
__import__(sys.argv[1])
print(" ".join(sorted(m for m in sys.modules if m.startswith("fawnspool."))))
"""


def loaded_modules(module: str, allowed: str) -> list[str]:
    """Return the program's modules that `module` imports when only the `allowed` packages are installed."""
    process = subprocess.run(
        [sys.executable, "-c", IMPORT_CHECK, module, allowed], capture_output=True, text=True, cwd=ROOT, check=False
    )
    assert process.returncode == 0, process.stderr
    return process.stdout.split()


def pinned(name: str) -> set[str]:
    return {line for line in (ROOT / name).read_text().splitlines() if line and not line.startswith("#")}


def test_run_needs_only_pinned_packages_and_the_adapter_none() -> None:
    assert pinned("requirements.txt") <= pinned("requirements.lock")
    loaded = loaded_modules("fawnspool.relay.process", "gevent,greenlet,httptools,zope")
    listed = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    files = [*listed["node"], *listed["policy"]]
    for module in loaded:
        path = module.replace(".", "/")
        assert any(
            path == file or path + ".py" == file or path + "/__init__.py" == file or path.startswith(file + "/")
            for file in files
        ), f"{module} is loaded but not listed in deploy/balancer.toml"
    assert loaded_modules("fawnspool.adapter.host", "") != []


def test_run_imports_no_module_that_takes_memory_and_has_no_use() -> None:
    """Guards against what a process holds at rest: 29 of the least 32 MB, a third of it by a library for logs."""
    code = "import sys\nsys.path[:0] = sys.argv[1:]\nimport fawnspool.relay.process\nprint(*sys.modules)"
    paths = [str(ROOT), *(path for path in sys.path if path.endswith("site-packages"))]
    done = subprocess.run([sys.executable, "-S", "-c", code, *paths], capture_output=True, text=True, check=True)
    roots = {name.partition(".")[0] for name in done.stdout.split()}
    assert "gevent" in roots
    assert roots & UNUSED_BY_RUN == set()
    assert len(done.stdout.split()) <= MAX_MODULES_OF_RUN


def test_settings_are_equal_from_lines_and_from_json() -> None:
    def lines(path: str, value: object) -> list[str]:
        if isinstance(value, dict):
            return [row for key, part in value.items() for row in lines(f"{path}.{key}" if path else key, part)]
        if isinstance(value, list) and value and isinstance(value[0], dict):
            rows = [row for number, entry in enumerate(value) for row in lines(f"{path}.{number}", entry)]
            return [f"{path}.count={len(value)}", *rows]
        values = value if isinstance(value, list) else [value]
        texts = [str(element).lower() if isinstance(element, bool) else str(element) for element in values]
        return [f"{path}={','.join(texts)}"]

    assert read_tree(SETTINGS) == read_settings("\n".join(lines("", SETTINGS)))
    assert read_tree(SETTINGS).classes[1].writes and read_tree(SETTINGS).load_report_fields == ("rif", "lat_ms")


def deploy() -> dict[str, str]:
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())


def test_interrupted_build_is_repeated_and_a_complete_one_reused(tmp_path: Path) -> None:
    """An interrupted build leaves a partial `.venv`, which the next build must replace; a complete one is reused.

    `python3` is a stub that creates a `.venv` whose interpreter runs, and logs each call.
    """
    tools, call_log = tmp_path / "tools", tmp_path / "notes"
    tools.mkdir()
    stub = tools / "python3"
    stub.write_text(f"""#!/bin/sh
echo "$@" >> {call_log}
mkdir -p .venv/bin
for name in python pip; do printf '#!/bin/sh\\nexit 0\\n' > .venv/bin/$name; chmod +x .venv/bin/$name; done
""")
    stub.chmod(stub.stat().st_mode | stat.S_IXUSR)
    (tmp_path / ".venv/bin").mkdir(parents=True)  # remains of an interrupted build
    for _ in range(2):
        subprocess.run(
            ["/bin/sh", "-c", deploy()["build"]],
            cwd=tmp_path,
            check=True,
            env={"PATH": f"{tools}:{os.environ['PATH']}"},
        )
    assert call_log.read_text().splitlines() == ["-m venv --clear .venv"]


def test_run_command_becomes_one_dynamically_linked_process(tmp_path: Path) -> None:
    """The benchmark preloads a library, which needs `exec` and a dynamically linked interpreter (PT_INTERP)."""
    command, program, *_ = deploy()["run"].split()
    assert (command, program) == ("exec", ".venv/bin/python")
    data = Path(sys.executable).resolve().read_bytes()
    assert data[:5] == b"\x7fELF\x02"
    offset, size, count = (int.from_bytes(data[start:end], "little") for start, end in ((32, 40), (54, 56), (56, 58)))
    types = [
        int.from_bytes(data[offset + number * size : offset + number * size + 4], "little") for number in range(count)
    ]
    assert 3 in types  # PT_INTERP
