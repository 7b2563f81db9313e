"""How long a child process lives: no longer than its parent, however that one ends."""

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # the option of prctl(2) by which the kernel signals a process whose parent has ended


def die_with_parent(parent: int) -> None:
    """Have the kernel kill this process when its parent ends, even by SIGKILL (Linux only).

    Called in a child before it runs its program, with the process id of its parent. A parent that has ended
    before the kernel was asked is not told of any more: then the child ends here.
    """
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:
        os.kill(os.getpid(), signal.SIGKILL)
