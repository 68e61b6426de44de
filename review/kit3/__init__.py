"""Stand-ins of the third review, of the standard library alone."""
