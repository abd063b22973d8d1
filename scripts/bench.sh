#!/usr/bin/env bash
# Run the benches behind docs/MEASUREMENTS.md; each prints JSON lines.
set -euo pipefail
cd "$(dirname "$0")/.."

for name in ${BENCHES:-objects_check replay publish distribution membership \
  peers http_clients hops decisions}; do
  if [ -f "bench/$name.py" ]; then
    echo "== bench.$name =="
    python -m "bench.$name"
  fi
done
