"""Building and checking the packaged program."""
