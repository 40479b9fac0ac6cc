"""Forwards requests by routes: entry side, target side, streams between nodes."""
