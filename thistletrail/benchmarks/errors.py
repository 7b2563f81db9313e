"""The error that ends a benchmark with a message of one line."""


class BenchmarkError(Exception):
    """Invalid input, or a process that cannot be measured; the text is one line."""
