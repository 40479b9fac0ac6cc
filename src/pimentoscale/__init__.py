"""Overload control layer for service call graphs."""
