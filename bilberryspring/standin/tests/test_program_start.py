"""Programs that a test harness starts end with it."""

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from bilberryspring.standin.fleet_process import SOURCE_ROOT

WAIT_S = 30.0
HARNESS_SCRIPT = """
import sys, time
from pathlib import Path
from bilberryspring.standin.program_start import start_program

if __name__ == "__main__":
    process = start_program("timeit", ["while True: pass"], Path(sys.argv[1]))
    print(process.pid, flush=True)
    time.sleep(600)
"""


def is_running(pid):
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


@pytest.mark.timeout(90)
def test_program_is_killed_when_its_harness_is_killed(tmp_path):
    script = tmp_path / "starter.py"
    script.write_text(HARNESS_SCRIPT)
    harness = subprocess.Popen(
        [sys.executable, script, tmp_path / "program.log"],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(SOURCE_ROOT)},
    )
    try:
        pid = int(harness.stdout.readline())
        assert is_running(pid)
    finally:
        harness.kill()
        harness.wait(WAIT_S)
        harness.stdout.close()
    deadline_s = time.monotonic() + WAIT_S
    while is_running(pid):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
