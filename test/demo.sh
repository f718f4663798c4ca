#!/usr/bin/env bash
# Runs all parts in separate processes: the platform, leaves in three availability zones, and three nodes.
# Exits with 0 if every step had the expected result; otherwise prints the step that failed.
program=demo
source "$(dirname "$0")/lib.sh"

platform=127.30.0.1:7000
platform_control=127.30.0.1:7001
entry=127.30.1.1:7400
export STEPCTL_NODE=127.30.1.1:7200
export STEPCTL_TOKEN=bootstrap-token

start platform "$binaries/stepfake" platform --address "$platform" --control-address "$platform_control"
for zone in a b c; do
  start "leaves-$zone" "$binaries/stepfake" upstream --config examples/demo/config.json --zone "zone-$zone" \
    --control-address "127.30.0.1:701$(printf '%d' "'$zone" | tail -c 1)"
done
wait_for "platform start" "$binaries/stepload" control "$platform_control" /vms @examples/demo/vms.json

nodes=()
for node in a1 b1 c1; do
  start "node-$node" "$binaries/stepd" run --settings "examples/demo/node-$node.json"
  nodes+=("${processes[-1]}")
done
wait_for "node start" "$binaries/stepctl" status

echo "# stepctl apply"
"$binaries/stepctl" apply -f examples/demo/config.json --only operator --reason "first start" | sed 's/, change .*//'
export STEPCTL_TOKEN=operator-1-token
"$binaries/stepctl" apply -f examples/demo/config.json --reason "first start" | sed 's/, change .*//'

all_members() { [ "$("$binaries/stepctl" status | grep -c MEMBER_STATE_ALIVE)" = 3 ]; }
wait_for "view of three members" all_members

search() { # credential, service, class, query, options
  "$binaries/stepload" search --entry "$entry" --credential "$1" --service "$2" --class "$3" "${@:4}"
}
towpath=(skippers-token towpath-desk stalls "free stalls at Olten")
catalogue=(buyers-token quote-desk catalogue "goal net 7.5 m")
wait_for "whole answer of towpath-desk" search "${towpath[@]}" --whole
wait_for "whole answer of quote-desk" search "${catalogue[@]}" --whole

echo "# stepload entries"
"$binaries/stepload" entries --entry "$entry"
echo "# stepload search (towpath-desk)"
search "${towpath[@]}" || fail "search of towpath-desk"
echo "# stepload search (quote-desk)"
search "${catalogue[@]}" || fail "search of quote-desk"
echo "# stepload submit (towpath-desk)"
id=$("$binaries/stepctl" request-id)
submit() { # repeats use the same id, so the request runs at most once
  "$binaries/stepload" submit --entry "$entry" --credential skippers-token --service towpath-desk \
    --class book-stall --partition 1 --request-id "$id" "stall 7" | tee "$work/submit.json"
  grep -q RESULT_CODE_OK "$work/submit.json"
}
wait_for "run of the submit" submit
cat "$work/submit.json"

echo "# stop"
for p in "${nodes[@]}"; do kill -TERM "$p"; done
for p in "${nodes[@]}"; do wait "$p" || fail "a node did not stop gracefully"; done
grep -h "stop complete" "$work"/node-*.log | sed 's/.*msg=/msg=/' || fail "no stop line"
echo "demo: all steps passed"
