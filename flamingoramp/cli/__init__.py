"""Command line of the daemons and of operators."""
