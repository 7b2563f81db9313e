"""The error for invalid input of a user of the simulation."""


class SimulationError(Exception):
    """A scenario, a revision, a file or an option cannot be used; the message is one line."""
