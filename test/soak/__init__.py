"""Run real daemons under random faults and check the guarantees to callers.

Run random seeds by hand with ``python -m test.soak --seeds 50``;
``test_soak.py`` runs a few fixed seeds in CI.
"""
