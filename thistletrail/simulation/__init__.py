"""The fleet in simulated time: scenarios, runs, experiments and reports."""
