"""Run real daemons under random faults and check what callers see.

``python -m test.soak --seeds 50`` by hand; ``test_soak.py`` plays a few
seeds in CI.
"""
