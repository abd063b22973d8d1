#!/bin/sh
# Build the stand-ins of the cases. They use the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins/*.py [0-9]/*.py
