"""The error that ends a benchmark with a message of one line."""


class BenchmarkError(Exception):
    """The input is invalid, or a process cannot be started or measured; the text is one line."""
