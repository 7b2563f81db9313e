"""Tests that a child process ends with its parent, even if that is killed before the child calls prctl."""

import os
import select
import signal
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
EXIT_TIMEOUT_S = 20.0

# Starts a child that writes its process id to the pipe and calls die_with_parent after its parent has ended.
PARENT_CODE = """
import os, subprocess, sys, time
from thistletrail.process_lifetime import die_with_parent

parent, pipe = os.getpid(), int(sys.argv[1])

def call_too_late():
    os.write(pipe, b"%d" % os.getpid())
    while os.getppid() == parent:
        time.sleep(0.01)
    die_with_parent(parent)

sleep = [sys.executable, "-c", "import time; time.sleep(600)"]
subprocess.Popen(sleep, preexec_fn=call_too_late, pass_fds=[pipe])
"""


def test_a_child_ends_if_its_parent_was_killed_before_the_call_to_prctl() -> None:
    reader, writer = os.pipe()
    parent = subprocess.Popen([sys.executable, "-c", PARENT_CODE, str(writer)], cwd=ROOT, pass_fds=[writer])
    os.close(writer)
    child_pid = int(os.read(reader, 32))
    parent.kill()
    parent.wait()
    readable, _, _ = select.select([reader], [], [], EXIT_TIMEOUT_S)
    try:
        assert readable and os.read(reader, 1) == b""  # no process holds the write end any more
    finally:
        os.close(reader)
        if not readable:
            os.kill(child_pid, signal.SIGKILL)
