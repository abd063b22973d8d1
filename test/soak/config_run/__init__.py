"""Check that real daemons apply configuration changes in time.

Run seeds by hand with ``python -m test.soak.config_run --seeds 5``;
``test/soak/test_config_run.py`` runs a short one in CI.
"""
