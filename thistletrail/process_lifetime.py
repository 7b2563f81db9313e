"""How long a child process lives: no longer than its parent, however that one ends."""

import ctypes
import signal

PR_SET_PDEATHSIG = 1  # the option of prctl(2) by which the kernel signals a process whose parent has ended


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends, even by SIGKILL (Linux only).

    Called in a child before it runs its program.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
