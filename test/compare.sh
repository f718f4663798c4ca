#!/usr/bin/env bash
# Compares the tier with a direct fan-out at the size of one of the users, with three runs each for healthy
# leaves and for leaves with 1% and 5% stragglers at ten times the latency. Runs nine nodes, three in each
# availability zone, and all leaves of the example configuration. Prints one line for each run.
#
#   test/compare.sh treidelstall towpath-desk stalls skippers-token
#   test/compare.sh dikranos quote-desk catalogue buyers-token
program=compare
source "$(dirname "$0")/lib.sh"
example=${1:?name of an example}
service=${2:?service}
class=${3:?class}
credential=${4:?credential of a caller}
seconds=${SECONDS_OF_LOAD:-10}
rate=${RATE:-40}
runs=${RUNS:-3}
net=$(grep -o '"127\.[0-9]*' "examples/$example/config.json" | head -1 | tr -d '"')
mapfile -t zones < <(grep -o '"availability_zone": "[^"]*"' "examples/$example/config.json" | cut -d'"' -f4 | sort -u)

vms=""
for z in 0 1 2; do
  for i in 1 2 3; do
    ip=$net.$((z + 1)).$((200 + i))
    vms="$vms${vms:+,}{\"name\":\"node-$z$i\",\"ip\":\"$ip\",\"availability_zone\":\"${zones[z]}\",\"state\":\"live\"}"
    cat >"$work/node-$z$i.json" <<NODE
{"node_name":"node-$z$i","availability_zone":"${zones[z]}","region":"demo","caller_address":"$ip:7400",
 "operator_address":"$ip:7200","peer_address":"$ip:7300","platform_urls":["http://$net.0.200:7000"],
 "bootstrap_credential_hash":"$(printf 'bootstrap-token' | sha256sum | cut -d' ' -f1)","fatal_invariants":true}
NODE
  done
done
echo "{\"vms\":[$vms]}" >"$work/vms.json"
cat >"$work/plan.json" <<PLAN
{"entry_addresses":["$net.1.201:7400","$net.2.201:7400","$net.3.201:7400"],"duration":"${seconds}s","warm_up":"2s",
 "window":"5s","seed":1,"classes":[{"service":"$service","class":"$class","credential":"$credential",
 "query":"q","steps":[{"start":"0s","requests_per_second":$rate}]}]}
PLAN

start platform "$binaries/stepfake" platform --address "$net.0.200:7000" --control-address "$net.0.200:7001"
echo '{"service_time":"0.02s"}' >"$work/behaviour.json"
start leaves "$binaries/stepfake" upstream --config "examples/$example/config.json" \
  --control-address "$net.0.200:7011" --behaviour "$work/behaviour.json"
wait_for "platform start" "$binaries/stepload" control "$net.0.200:7001" /vms "@$work/vms.json"
for f in "$work"/node-*.json; do
  start "$(basename "$f" .json)" "$binaries/stepd" run --settings "$f"
done
export STEPCTL_NODE=$net.1.201:7200 STEPCTL_TOKEN=bootstrap-token
wait_for "node start" "$binaries/stepctl" status
"$binaries/stepctl" apply -f "examples/$example/config.json" --only operator --reason "first start" >/dev/null
STEPCTL_TOKEN=operator-1-token "$binaries/stepctl" apply -f "examples/$example/config.json" --reason "start" >/dev/null
wait_for "whole answer" "$binaries/stepload" search --entry "$net.3.201:7400" --credential "$credential" \
  --service "$service" --class "$class" --whole q

print_line() { awk -v l="$1" -v s="$service" '$1 == s { printf "%-28s %s\n", l, $0 }' "$work/report"; }
printf '%-28s %s\n' "" "service        class           sent   p50_ms   p99_ms  p999_ms  coverage   whole   worth refused no_reply"
for fault in "healthy 0" "stragglers 1% 0.01" "stragglers 5% 0.05"; do
  share=${fault##* }
  "$binaries/stepload" control "$net.0.200:7011" /behaviour \
    "{\"service_time\":\"0.02s\",\"straggler_share\":$share,\"straggler_factor\":10}" >/dev/null
  for subcommand in direct run; do
    for _ in $(seq "$runs"); do
      "$binaries/stepload" "$subcommand" --plan "$work/plan.json" --config "examples/$example/config.json" \
        >"$work/report" 2>/dev/null
      print_line "${fault% *}, ${subcommand/run/tier}"
    done
  done
done
if grep -q "invariant violated" "$work"/node-*.log; then fail "an invariant was violated"; fi
