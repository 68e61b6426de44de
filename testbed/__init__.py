"""Stand-ins for the outside systems, the demo and the benchmarks."""
