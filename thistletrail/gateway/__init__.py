"""The gateway process: the sockets, timers, signals and stored state that the decisions of `policy` need."""
