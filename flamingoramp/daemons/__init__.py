"""Daemons: processes that connect the state machines to sockets, timers and disks."""
