"""Garbage collector settings for processes whose calls are sensitive to latency."""

import gc

# Far above the defaults of Python, so that collections are rare.
GENERATION_THRESHOLDS = (20_000, 20, 50)


def configure_garbage_collector() -> None:
    """Make collections rare and short, so that they seldom delay calls.

    Objects that exist when this function is called are exempt from later collections.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GENERATION_THRESHOLDS)
