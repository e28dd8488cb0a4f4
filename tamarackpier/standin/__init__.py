"""Fakes of the platform and of the upstreams, with fault injection.

Some of them serve the published protocols over loopback; others run in memory,
also on a virtual clock. The demo, the tests and the benchmarks use them. The
daemon does not import them.
"""
