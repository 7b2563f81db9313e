"""A child ends with its parent, also where the parent is killed before the child could ask for that."""

import os
import select
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
GONE_S = 20.0  # for a killed process to be gone: machines may be slow
# Starts a child that says its process id, waits until its parent is gone, and only then asks to die with it.
PARENT = """
import os, subprocess, sys, time
from thistletrail.process_lifetime import die_with_parent

parent, pipe = os.getpid(), int(sys.argv[1])

def ask_too_late():
    os.write(pipe, b"%d" % os.getpid())
    while os.getppid() == parent:
        time.sleep(0.01)
    die_with_parent(parent)

sleep = [sys.executable, "-c", "import time; time.sleep(600)"]
subprocess.Popen(sleep, preexec_fn=ask_too_late, pass_fds=[pipe])
"""


def test_child_ends_whose_parent_was_killed_before_it_asked() -> None:
    reader, writer = os.pipe()
    parent = subprocess.Popen([sys.executable, "-c", PARENT, str(writer)], cwd=ROOT, pass_fds=[writer])
    os.close(writer)
    child = int(os.read(reader, 32))
    parent.kill()
    parent.wait()
    ended, _, _ = select.select([reader], [], [], GONE_S)
    try:
        assert ended and os.read(reader, 1) == b""  # nobody has the other end any more
    finally:
        os.close(reader)
        if not ended:
            os.kill(child, signal.SIGKILL)
