#!/usr/bin/env bash
# Sends a load of four times the leaves' capacity for a minute without a grant, then has the director agree to
# a grant and sends the same load again. Prints the memory of the nodes every ten seconds, the answers to callers
# and the number of pages to the director. Fails if a caller was refused before the grant, if the director was not
# paged, if nothing was refused under the grant, or if an invariant was violated.
program=overload
source "$(dirname "$0")/lib.sh"
seconds=${SECONDS_OF_LOAD:-60}
rate=${RATE:-720} # capacity: 3 replicas * 6 slots / 0.1 s = 180 searches a second

for f in config.json vms.json node-a1.json node-b1.json node-c1.json; do
  sed 's/127\.30\./127.44./g' "examples/demo/$f" >"$work/$f"
done
export STEPCTL_NODE=127.44.1.1:7200 STEPCTL_TOKEN=bootstrap-token
echo '{"service_time":"0.1s"}' >"$work/behaviour.json"
cat >"$work/plan.json" <<PLAN
{"entry_addresses":["127.44.1.1:7400","127.44.2.1:7400","127.44.3.1:7400"],"duration":"${seconds}s","warm_up":"1s",
 "window":"10s","seed":1,"classes":[{"service":"towpath-desk","class":"stalls","credential":"skippers-token",
 "query":"free stalls","steps":[{"start":"0s","requests_per_second":$rate}]}]}
PLAN

start platform "$binaries/stepfake" platform --address 127.44.0.1:7000 --control-address 127.44.0.1:7001
start leaves "$binaries/stepfake" upstream --config "$work/config.json" --control-address 127.44.0.1:7011 \
  --behaviour "$work/behaviour.json"
wait_for "platform start" "$binaries/stepload" control 127.44.0.1:7001 /vms "@$work/vms.json"
nodes=()
for node in a1 b1 c1; do
  start "node-$node" "$binaries/stepd" run --settings "$work/node-$node.json"
  nodes+=("${processes[-1]}")
done
wait_for "node start" "$binaries/stepctl" status
"$binaries/stepctl" apply -f "$work/config.json" --only operator --reason "first start" >/dev/null
export STEPCTL_TOKEN=operator-1-token
"$binaries/stepctl" apply -f "$work/config.json" --reason "first start" >/dev/null
whole() {
  "$binaries/stepload" search --entry 127.44.3.1:7400 --credential skippers-token --service towpath-desk \
    --class stalls --whole x
}
wait_for "whole answer" whole

memory() { # prints the resident KiB of each node
  for p in "${nodes[@]}"; do awk '/VmRSS/ {printf "%s ", $2}' "/proc/$p/status"; done
}
load() { # label
  "$binaries/stepload" run --plan "$work/plan.json" --config "$work/config.json" --label "$1" >"$work/report-$1" &
  local runner=$!
  processes+=("$runner")
  for _ in $(seq $((seconds / 10))); do
    echo "resident KiB of the nodes: $(memory)"
    sleep 10
  done
  wait "$runner" || fail "the load generator failed"
  cat "$work/report-$1"
}

echo "# before the load: resident KiB of the nodes: $(memory)"
echo "# $rate searches a second for $seconds s, no grant"
load without-grant
refused() { awk '/^towpath-desk/ {print $10}' "$work/report-$1"; }
[ "$(refused without-grant)" = 0 ] || fail "a caller was refused without a grant"
pages=$(cat "$work"/node-*.log | grep -c 'msg="page posted"' || true)
echo "# posts of pages: $pages, page ids: $(cat "$work"/node-*.log | grep -o 'page_id=[^ ]*' | sort -u | tr '\n' ' ')"
[ "$pages" -gt 0 ] || fail "the director was not paged"
"$binaries/stepctl" pages
echo "# the director agrees"
STEPCTL_TOKEN=director-1-token "$binaries/stepctl" agree towpath-desk/stalls --share 0.8 --lifetime 10m \
  --reason "evening peak" | sed 's/, change .*//'
load with-grant
[ "$(refused with-grant)" -gt 0 ] || fail "nothing was refused under the grant"
if grep -q "invariant violated" "$work"/node-*.log; then fail "an invariant was violated"; fi
for p in "${nodes[@]}"; do kill -TERM "$p"; done
for p in "${nodes[@]}"; do wait "$p" || fail "a node did not stop gracefully"; done
echo "overload: passed"
