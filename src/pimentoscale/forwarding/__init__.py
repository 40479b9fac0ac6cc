"""Forwards requests by routes: entry side, target side, streams between nodes.

A target is an upstream with a node beside it. A caller is a client outside the call
graph; it sends its requests to any node, the entry node. A call that a target makes
while it runs a request is an inner request; it goes to the target's own node. The entry
node chooses a node, which runs the request at its local target. Routes that callers
use are caller routes; all others are inner routes, which only targets call.
"""
