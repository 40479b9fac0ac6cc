"""A randomized soak: real nodes and a real store as processes, faults from outside."""
