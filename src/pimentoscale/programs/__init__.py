"""The programs; each one only wires rooms together."""
