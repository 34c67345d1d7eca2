"""Stand-ins for backend servers, used by the demo, the tests and the benchmarks."""
