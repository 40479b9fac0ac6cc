"""The last answers of a stopping node."""

import asyncio
from collections.abc import Callable

# Turns of the event loop; more than an answer takes through the tasks of its request.
LAST_TURNS = 20


async def send_last_answers(count_owed: Callable[[], int]) -> int:
    """Let the requests that were just broken off send their answers.

    Return how many answers are still owed. An event loop that runs late reaches the
    end of the stop before these requests had a turn.
    """
    for _ in range(LAST_TURNS):
        if not count_owed():
            break
        await asyncio.sleep(0)
    return count_owed()
