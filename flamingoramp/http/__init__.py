"""HTTP/1.1 towards callers, operators and backend servers, on the loop of one task."""
