"""Benches. Timings are measured here and never in the tests."""
