"""Ends a child process when its parent process ends, for whatever reason."""

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1
"""Option of prctl(2): the kernel sends a signal to the calling process when its parent ends."""


def die_with_parent(parent_pid: int) -> None:
    """Have the kernel kill this process when its parent ends, even by SIGKILL (Linux only).

    A child calls it with the process id of its parent, before it runs its program. The kernel sends no signal
    for a parent that ended before the call to prctl, so the child kills itself in that case.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent_pid:
        os.kill(os.getpid(), signal.SIGKILL)
