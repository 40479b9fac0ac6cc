"""A node acknowledges that its target has gone, and forgets it in a restart."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    DRAIN_S,
    HEARTBEAT_S,
    TOUCH_S,
    Deployment,
    Run,
    Target,
    make_route,
    run_case,
    send_bids,
)

BIDDING = "wuno96b"
IMAGING = "kafi81c"
# Times after the acknowledgement of the leaving.
KILL_S = 0.3
STORE_BACK_S = 0.5
RESTART_S = 0.6
# The delayed heartbeat was sent before the target left, so it is two seconds late.
LATE_HEARTBEAT_S = 2.0
TARGET_ENDS_S = 8.0


async def work(target: Target, run: Run) -> bytes:
    """Run for as long as a usual bid does."""
    await asyncio.sleep(0.14)
    return b"bid"


async def play(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Send bids at another machine while the target leaves."""
    entry = await deployment.add_machine("sidecar-gwent-a-1", "gwent-a", IMAGING)
    machine = await deployment.add_machine("sidecar-gwent-a-2", "gwent-a", BIDDING)
    deployment.configure(
        [
            make_route("puka111", BIDDING, kind="unsafe"),
            make_route("balo202", IMAGING),
        ]
    )
    await deployment.add_target("i-02d9e6b4", entry, work=work)
    leaving = await deployment.add_target("i-7f3a91c2", machine, work=work)
    await entry.wait_ready()
    await machine.wait_ready()
    await deployment.wait_served(entry, "/puka111/a", method="POST", body=b"{}")
    await asyncio.sleep(TOUCH_S)
    leaving.stop_announcing()
    # Sent now, and delayed on its way.
    delayed = leaving.make_announcement()
    if has_trouble:
        deployment.platform.set_down(True)
    status = await leaving.leave()
    acknowledged = deployment.record.now()
    restarted = acknowledged
    if status != 200:
        raise RuntimeError(f"DELETE was answered {status}")
    if has_trouble:
        await asyncio.sleep(KILL_S)
        await machine.kill_node()
        await asyncio.sleep(STORE_BACK_S - KILL_S)
        deployment.platform.set_down(False)
        await asyncio.sleep(RESTART_S - STORE_BACK_S)
        await machine.start_node()
        restarted = deployment.record.now()
        await machine.wait_ready()
    late_s = acknowledged + LATE_HEARTBEAT_S - deployment.record.now()
    await asyncio.sleep(max(0.0, late_s))
    status = await leaving.announce(delayed)
    deployment.record.write(f"the delayed heartbeat arrives: answered {status}")
    await send_bids(deployment, entry, leaving, ends_at=acknowledged + TARGET_ENDS_S)
    # From then on all machines are in touch, and so is the store.
    in_touch_at = restarted + TOUCH_S + HEARTBEAT_S if has_trouble else acknowledged
    due_at = max(in_touch_at, acknowledged + DRAIN_S)
    return [
        f"DRAIN: {run.attempt} reached {leaving.identity} "
        f"{run.began - acknowledged:.2f} s after the acknowledgement"
        for run in leaving.runs
        if run.began > due_at
    ]


run_case(play, folder=Path(__file__).resolve().parent)
