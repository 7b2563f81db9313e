"""Benchmarks of the gateway and its services on loopback, with stub servers for all that they talk to."""
