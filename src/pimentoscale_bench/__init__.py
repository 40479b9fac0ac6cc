"""Stand-ins of platform, upstream and caller, with loads, faults and reports."""
