#!/usr/bin/env bash
# Stops real instances under load: one by SIGTERM, then another by SIGKILL.
# A planned stop may cost no answer; a crash may cost those that the process had in hand.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.venv/bin
mkdir -p out
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true' EXIT
$bin/lineworks-standin --write_configuration out/stop-services.json > out/stop-standin.log 2>&1 &
pids+=($!)
sleep 2
for name in a1 w1 w2; do
  $bin/lineworks-entry --settings examples/$name.json 2> out/stop-$name.log &
  pids+=($!)
done
sleep 3
$bin/lineworks-ctl --secret_file examples/secret apply out/stop-services.json
sleep 3
entries=http://127.0.0.1:8101,http://127.0.0.1:8102,http://127.0.0.1:8103
$bin/lineworks-load --entries $entries --rate 25 --seconds 12 --json > out/stop-load.json &
load=$!
sleep 4
kill -TERM "${pids[3]}"
wait "${pids[3]}" && echo "w2 after SIGTERM: exit code 0"
sleep 3
kill -KILL "${pids[2]}"
wait "${pids[2]}" || echo "w1 after SIGKILL: exit code $?"
wait $load || true
cat out/stop-load.json
