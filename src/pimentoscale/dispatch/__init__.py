"""How one call finds a target and runs there, at most once where it must."""
