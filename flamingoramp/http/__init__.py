"""HTTP/1.1 server for callers and operators and client for backend servers, on an event loop."""
