"""One node process: its state, the detection of pauses, and the wiring of its parts."""
