"""One node process: its state, its pauses, and how its parts are wired."""
