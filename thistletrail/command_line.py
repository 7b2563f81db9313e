"""What command lines have in common: one plain line for bad input, and exit codes."""

from __future__ import annotations

import os
import signal
import sys
from typing import ClassVar

import click

BAD_INPUT, STOPPED = 2, 130  # exit codes; 1 is a fault's
HELP = {"help_option_names": ["-h", "--help"]}


class Group(click.Group):
    """Bad input is one plain line and exit code 2; Ctrl-C says so and leaves no process."""

    errors: ClassVar[tuple[type[Exception], ...]] = ()  # whose text is one plain line

    def main(self, *args: object, **kwargs: object) -> object:  # type: ignore[override]
        """Run the command that the arguments name, and end with its exit code."""
        try:
            return super().main(*args, **{**kwargs, "standalone_mode": False})
        except click.ClickException as error:
            click.echo(f"{self.name}: {error.format_message()}", err=True)
        except self.errors as error:
            click.echo(f"{self.name}: {error}", err=True)
        except (click.Abort, KeyboardInterrupt):
            click.echo(f"{self.name}: stopped", err=True)
            sys.exit(STOPPED)
        except BrokenPipeError:
            os.dup2(os.open(os.devnull, os.O_WRONLY), 1)  # its reader has gone: nothing is left to say
            sys.exit(0)
        sys.exit(BAD_INPUT)


def end_on_signals() -> None:
    """SIGINT and SIGTERM end the command, also where whoever started it had SIGINT ignored."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.default_int_handler)
