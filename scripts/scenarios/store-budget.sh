# Each host has the share of the rates that it would have in a fleet of 63.
HOST_FLAGS="-platform.writes_per_second 3.5 -platform.calls_per_second 30"
