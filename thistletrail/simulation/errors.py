"""What a user of the model did wrong, as one plain line."""


class ModelError(Exception):
    """Bad input: a scenario, a revision or an option that cannot be used."""
