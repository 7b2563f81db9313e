"""What ends a run of the harness with one plain line."""


class BenchmarkError(Exception):
    """Bad input, or a front door that cannot be measured; the text is one plain line."""
