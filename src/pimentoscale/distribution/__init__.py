"""Distribution of configuration and members between the log and the nodes."""
