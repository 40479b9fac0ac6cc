"""Streams between nodes: those opened, those accepted, and the zone's tree."""
