"""Names that are sent on in headers."""

# No white space, line ends or other control characters.
NAME_PATTERN = r"\A[!-~]+\Z"
