"""bench: the project's own load harness, with stand-ins for all that a front door talks to, on loopback."""
