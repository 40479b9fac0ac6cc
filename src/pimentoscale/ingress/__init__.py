"""Where callers and upstreams send their calls: HTTP, headers and control."""
