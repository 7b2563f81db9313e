"""The gateway process: sockets, timers, signals and stored state around the decisions of `policy`."""
