#!/usr/bin/env bash
# Measures processor time, memory and start-up time of real lineworks-entry processes.
# Usage: [MODES="direct relay"] [FANOUTS="20 100 820"] bench/wire.sh [OUT.json]. Everything stays on loopback and ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
out=${1:-out/wire.json}
mkdir -p out
rows=out/wire-rows.jsonl
: > "$rows"
pids=()
cleanup() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; pids=(); }
trap cleanup EXIT

settings() { # name hall roles port
  cat > "out/wire-$1.json" <<EOF
{"name": "$1", "hall": "$2", "roles": $3, "secret_file": "examples/secret",
 "caller": {"port": $4}, "operator": {"port": $(($4 + 100))}, "peer": {"port": $(($4 + 200))},
 "platform": {"url": "http://127.0.0.1:8600"}, "hall_delay_ms": {"near": 0.1, "far": 0.1},
 "log_level": "error"}
EOF
}

measure() { # fan-out mode rate seconds
  local fanout=$1 mode=$2 rate=$3 seconds=$4 hall=near
  [ "$mode" = relay ] && hall=far
  $bin/lineworks-standin --platform_port 8600 --first_target_port 10000 --services "$fanout" \
    --replicas 1 --slots 64 --connections 100 --halls "$hall" --median_ms 2 --stragglers 0 \
    --write_configuration out/wire-services.json > out/wire-standin.log 2>&1 &
  pids+=($!)
  sleep 2
  settings front near '["front", "gather"]' 8700
  local started; started=$(date +%s.%N)
  $bin/lineworks-entry --settings out/wire-front.json 2> out/wire-front.log &
  local front=$!
  pids+=($front)
  until curl -s -o /dev/null http://127.0.0.1:8800/healthz; do sleep 0.02; done
  local ready; ready=$(date +%s.%N)
  local gatherer=$front
  if [ "$mode" = relay ]; then
    settings gatherer far '["gather"]' 8710
    $bin/lineworks-entry --settings out/wire-gatherer.json 2> out/wire-gatherer.log &
    gatherer=$!
    pids+=($gatherer)
    sleep 3
  fi
  $bin/lineworks-ctl --entry http://127.0.0.1:8800 --secret_file examples/secret \
    apply out/wire-services.json > /dev/null
  sleep 5
  # A first run opens the connections; only the second one counts.
  $bin/lineworks-load --entries http://127.0.0.1:8700 --rate "$rate" --seconds 3 --seed 7 \
    --deadline_ms 5000 > /dev/null || true
  $bin/python -m bench.wire_report before "$front" "$gatherer" > out/wire-before.json
  $bin/lineworks-load --entries http://127.0.0.1:8700 --rate "$rate" --seconds "$seconds" \
    --deadline_ms 5000 --json > out/wire-load.json || true
  $bin/python -m bench.wire_report after "$front" "$gatherer" "$fanout" "$mode" \
    "$started" "$ready" >> "$rows"
  tail -n 1 "$rows"
  cleanup
}

for mode in ${MODES:-direct relay}; do
  for fanout in ${FANOUTS:-20 100 820}; do
    case $fanout in
      20) measure 20 "$mode" 20 8 ;;
      100) measure 100 "$mode" 5 8 ;;
      *) measure "$fanout" "$mode" 0.7 12 ;;
    esac
  done
done
$bin/python -m bench.wire_report join "$rows" "$out"
