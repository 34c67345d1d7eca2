"""Tests of the encoding of messages."""
