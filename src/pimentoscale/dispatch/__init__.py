"""Routing, execution and at-most-once submission of calls."""
