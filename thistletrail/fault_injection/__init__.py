"""Several real processes of the program, with relays and faults between them, and what the histories show."""
