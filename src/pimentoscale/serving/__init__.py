"""The parts of a node process that serve calls and keep it informed."""
