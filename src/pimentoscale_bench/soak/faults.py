"""The faults that a soak injects, by their names."""

from collections.abc import Awaitable, Callable

from pimentoscale_bench.soak.connection_faults import (
    cut_store,
    delay_connections,
    reset_connections,
    silence_target,
)
from pimentoscale_bench.soak.fault_context import FaultContext
from pimentoscale_bench.soak.process_faults import (
    kill_node,
    pause_node,
    reload_settings,
    roll_nodes,
    terminate_node,
)
from pimentoscale_bench.soak.store_faults import (
    change_configuration,
    degrade_store,
    return_older_copy,
    withdraw_key,
)
from pimentoscale_bench.soak.target_faults import (
    drain_target,
    forget_departure,
    leave_target,
    limit_target,
)

# A fault returns after it was repaired; its result describes what it affected.
Fault = Callable[[FaultContext], Awaitable[str]]
# In an order that stays: a seed draws faults by their positions.
FAULTS: dict[str, Fault] = {
    "kill": kill_node,
    "terminate": terminate_node,
    "roll": roll_nodes,
    "pause": pause_node,
    "reload": reload_settings,
    "cut_store": cut_store,
    "reset": reset_connections,
    "silence": silence_target,
    "delay": delay_connections,
    "store": degrade_store,
    "configure": change_configuration,
    "limit": limit_target,
    "drain": drain_target,
    "leave": leave_target,
    "forget": forget_departure,
    "drill": return_older_copy,
    "withdraw": withdraw_key,
}
