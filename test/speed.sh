#!/usr/bin/env bash
# Measures the overhead of the tier at one node's share of the planned size: 190 searches per second over 71
# partitions (13,490 leaf calls per second), in separate processes. Prints the latency of a direct fan-out and of
# the tier, and the processor time of the nodes per second and per leaf call.
program=speed
source "$(dirname "$0")/lib.sh"
seconds=${SECONDS_OF_LOAD:-15}
rate=${RATE:-190}
partitions=71
net=127.47

# leaf PARTITION prints the configuration of the leaf that holds the partition.
leaf() {
  printf '{"name":"bench-%d","availability_zone":"zone-%s","address":"%s.0.%d:8000","slots":16,' \
    "$1" "$(printf 'abc' | cut -c $(($1 % 3 + 1)))" "$net" $(($1 + 1))
  printf '"connections":32,"cold_slots":16,"connect_cost":"0.001s","partitions":[%d]}' "$1"
}

leaves=$(for i in $(seq 0 $((partitions - 1))); do
  [ "$i" = 0 ] || printf ','
  leaf "$i"
done)
hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
cat >"$work/config.json" <<CONFIG
{"availability_zones":[{"name":"zone-a","region":"demo"},{"name":"zone-b","region":"demo"},
  {"name":"zone-c","region":"demo"}],
 "operators":[{"name":"operator-1","credential_hash":"$(hash operator-1-token)","roles":["ROLE_OPERATOR"]},
  {"name":"director-1","credential_hash":"$(hash director-1-token)","roles":["ROLE_DIRECTOR"],"wake_address":"http://127.0.0.1:7900/page"}],
 "services":[{"name":"bench","partition_count":$partitions,"leaves":[$leaves],"directors":["director-1"],"extra_call_budget":0.05}],
 "classes":[{"name":"search","service":"bench","kind":"REQUEST_KIND_IDEMPOTENT","worth":1,"lateness":"2s",
  "full_worth_until":"1s","coverage_exponent":1,"coverage_floor":0.5}],
 "callers":[{"name":"caller","credential_hash":"$(hash caller-token)","classes":["bench/search"]}]}
CONFIG
for f in vms.json node-a1.json node-b1.json node-c1.json; do
  sed "s/127\.30\./$net./g" "examples/demo/$f" >"$work/$f"
done
echo '{"service_time":"0.000001s"}' >"$work/behaviour.json"
cat >"$work/plan.json" <<PLAN
{"entry_addresses":["$net.1.1:7400"],"duration":"${seconds}s","warm_up":"3s","window":"5s","seed":1,
 "classes":[{"service":"bench","class":"search","credential":"caller-token","query":"q",
 "steps":[{"start":"0s","requests_per_second":$rate}]}]}
PLAN

export STEPCTL_NODE=$net.1.1:7200 STEPCTL_TOKEN=bootstrap-token
start platform "$binaries/stepfake" platform --address "$net.0.200:7000" --control-address "$net.0.200:7001"
sed -i "s/$net\.0\.1:7000/$net.0.200:7000/" "$work"/node-*.json
start leaves "$binaries/stepfake" upstream --config "$work/config.json" --control-address "$net.0.200:7011" \
  --behaviour "$work/behaviour.json"
wait_for "platform start" "$binaries/stepload" control "$net.0.200:7001" /vms "@$work/vms.json"
nodes=()
for node in a1 b1 c1; do
  start "node-$node" "$binaries/stepd" run --settings "$work/node-$node.json"
  nodes+=("${processes[-1]}")
done
wait_for "node start" "$binaries/stepctl" status
"$binaries/stepctl" apply -f "$work/config.json" --only operator --reason "first start" >/dev/null
STEPCTL_TOKEN=operator-1-token "$binaries/stepctl" apply -f "$work/config.json" --reason "first start" >/dev/null
wait_for "whole answer" "$binaries/stepload" search --entry "$net.1.1:7400" --credential caller-token \
  --service bench --class search --whole q

# ticks prints the total processor time of the nodes so far, in hundredths of a second.
ticks() {
  local sum=0
  for p in "${nodes[@]}"; do sum=$((sum + $(awk '{print $14 + $15}' "/proc/$p/stat"))); done
  echo "$sum"
}

echo "# direct, $rate searches a second of $partitions leaves"
"$binaries/stepload" direct --plan "$work/plan.json" --config "$work/config.json" 2>/dev/null
echo "# through the tier"
before=$(ticks)
"$binaries/stepload" run --plan "$work/plan.json" --config "$work/config.json" 2>/dev/null
after=$(ticks)
awk -v t=$((after - before)) -v s="$seconds" -v c=$((rate * partitions)) \
  'BEGIN { printf "# nodes: %.2f cores for %d leaf calls a second, %.0f us a leaf call\n", t / 100 / s, c, t * 10000 / s / c }'
