"""Behaviour that the command lines share: one-line error messages, exit codes and signals."""

from __future__ import annotations

import os
import signal
import sys
from typing import ClassVar

import click

# Exit codes; Python itself exits with 1 on an unhandled exception.
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130

HELP = {"help_option_names": ["-h", "--help"]}
"""Context settings of click that add `-h` to `--help`."""


class Group(click.Group):
    """A command group with one-line error messages and no traceback for bad input and Ctrl-C.

    Bad input exits with code 2. Ctrl-C prints `stopped`, exits with code 130 and leaves no child process.
    """

    errors: ClassVar[tuple[type[Exception], ...]] = ()
    """Exceptions that are printed as one line, as bad input is, without a traceback."""

    def main(self, *args: object, **kwargs: object) -> object:  # type: ignore[override]
        """Run the command that the arguments name; an error ends the process with its exit code."""
        try:
            return super().main(*args, **{**kwargs, "standalone_mode": False})
        except click.ClickException as error:
            click.echo(f"{self.name}: {error.format_message()}", err=True)
        except self.errors as error:
            click.echo(f"{self.name}: {error}", err=True)
        except (click.Abort, KeyboardInterrupt):
            click.echo(f"{self.name}: stopped", err=True)
            sys.exit(EXIT_INTERRUPTED)
        except BrokenPipeError:
            # The reader of standard output has closed it; the null device takes what Python flushes at exit.
            os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
            sys.exit(0)
        sys.exit(EXIT_BAD_INPUT)


def end_on_signals() -> None:
    """Make SIGINT and SIGTERM raise `KeyboardInterrupt`, even if the parent process had SIGINT ignored."""
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.default_int_handler)
