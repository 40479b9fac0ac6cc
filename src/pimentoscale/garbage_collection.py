"""The garbage collector's settings for processes on which calls wait."""

import gc

THRESHOLDS = (20_000, 20, 50)


def configure_garbage_collector() -> None:
    """Keep collections rare and short: leave out all that is there now."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)
