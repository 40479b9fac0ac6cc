"""How configuration and members get from the log to every node, and back."""
