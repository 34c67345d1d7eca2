"""Unit tests of transports, the timeline, settings and the command line."""
