"""Demo, load test and benchmarks, run on real processes or on simulations."""
