"""The HTTP interface of a node: calls, their headers, and control requests."""
