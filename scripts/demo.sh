#!/usr/bin/env bash
# Start a stand-in for the platform log, four daemons in two availability zones
# and four targets, all as separate processes, and run `goldcrestwharf demo`.
set -euo pipefail
cd "$(dirname "$0")/.."

run=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap stop EXIT

base=${DEMO_PORT:-17000}
key=demo-cluster-key-that-is-not-a-secret-0123
export GOLDCRESTWHARF_TOKEN=demo-admin-token-that-is-not-a-secret-45
platform=http://127.0.0.1:$base

wait_for() {
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return; fi
    sleep 0.1
  done
  echo "nothing listens on port $1; see the logs:" >&2
  tail -n 20 "$run"/*.log >&2
  exit 3
}

goldcrestwharf platform --listen "127.0.0.1:$base" >"$run/platform.log" 2>&1 &
pids+=($!)
wait_for "$base"

locals=()
callers=()
for number in 1 2 3 4; do
  zone=recife-a
  [ "$number" -gt 2 ] && zone=recife-b
  port=$((base + number * 10))
  cat >"$run/vm-$number.jsonc" <<JSON
{
  "vm": "vm-$number",
  "zone": "$zone",
  "cluster": "demo",
  "cluster_key": "$key",
  "admin_token": "$GOLDCRESTWHARF_TOKEN",
  "peer_address": "127.0.0.1:$port",
  "caller_address": "127.0.0.1:$((port + 1))",
  "local_address": "127.0.0.1:$((port + 2))",
  "platform_url": "$platform",
  "seeds": ["127.0.0.1:$((base + (number % 4 + 1) * 10))"],
}
JSON
  goldcrestwharf daemon --settings "$run/vm-$number.jsonc" \
    >"$run/vm-$number.log" 2>&1 &
  pids+=($!)
  locals+=(--local "127.0.0.1:$((port + 2))")
  callers+=(--caller "127.0.0.1:$((port + 1))")
done
for number in 1 2 3 4; do wait_for $((base + number * 10 + 2)); done

for number in 1 2 3 4; do
  group=menu-pool
  [ $((number % 2)) -eq 0 ] && group=order-pool
  port=$((base + number * 10))
  python examples/lunch_target.py --name "target-$number" --group "$group" \
    --port $((port + 3)) --daemon "http://127.0.0.1:$((port + 2))" \
    >"$run/target-$number.log" 2>&1 &
  pids+=($!)
done

echo "== a platform log, 4 daemons in 2 availability zones, 4 targets =="
goldcrestwharf check examples/lunch.jsonc
goldcrestwharf demo "${locals[@]}" "${callers[@]}" --sets examples || {
  code=$?
  tail -n 15 "$run"/*.log >&2
  exit "$code"
}
