"""A randomized soak test: nodes and a store as processes, under injected faults."""
