#!/usr/bin/env bash
# Runs three instances as separate processes and eight stand-in targets in another process, kills
# one instance while requests are in flight, and checks every answer. Exits with a nonzero status
# if a step fails, an answer is wrong, a request that must not be repeated ran twice, or a target
# was overloaded.
set -u
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do
		kill -9 "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
}
trap cleanup EXIT
fail() {
	echo "demo: FAILED: $*" >&2
	tail -n 5 "$work"/*.log >&2
	exit 1
}

base=${DEMO_PORT:-18100}
public() { echo "127.0.0.1:$((base + $1))"; }
peer() { echo "127.0.0.1:$((base + 10 + $1))"; }
servers="$(public 1),$(public 2),$(public 3)"
targets=$(for i in 0 1 2 3 4 5 6 7; do echo -n "127.0.0.1:$((base + 20 + i)),"; done)
targets=${targets%,}
export ANVILSHUNT_SERVERS=$servers

peers=""
zones=(- palermo trapani catania)
regions=(- west west east)
for i in 1 2 3; do
	peers+="{\"instance\": \"${zones[$i]}-1\", \"address\": \"$(peer $i)\", \"region\": \"${regions[$i]}\", \"voter\": true},"
done
for i in 1 2 3; do
	cat >"$work/$i.jsonc" <<EOF
{
  // Instance $i of the demo.
  "instance": "${zones[$i]}-1", "region": "${regions[$i]}", "zone": "${zones[$i]}",
  "public": "$(public $i)", "peer": "$(peer $i)",
  "data": "$work/data-$i",
  "peers": [$peers],
}
EOF
done
cat >"$work/config.jsonc" <<'EOF'
{
  // The Agency plans the raking of courts.
  "set": [
    {"kind": "account", "name": "agency", "spec": {"weight": 3}},
    {"kind": "account", "name": "clubs", "spec": {"weight": 1}},
    {"kind": "shape", "name": "rack-gang", "spec": {"accelerators": 16, "within": "rack"}},
    {"kind": "service", "name": "planner", "spec": {"timeout": 5000, "body": 65536, "repeatable": true}},
  ],
}
EOF

echo "== start three instances (a data directory each) and eight targets"
bin/anvilshunt config check "$work"/[123].jsonc || fail "settings"
for i in 1 2 3; do
	bin/anvilshunt serve --config "$work/$i.jsonc" 2>"$work/instance-$i.log" &
	pids[$i]=$!
done
bin/anvilemu targets --count 8 --listen "127.0.0.1:$((base + 20))" --instances "$servers" \
	--zones west/palermo >"$work/targets.log" 2>&1 &
pids[4]=$!

for i in 1 2 3; do
	for _ in $(seq 100); do
		ready=$(bin/anvilshunt status --servers "$(public $i)" 2>/dev/null | awk -F'\t' '$1 == "ready" {print $2}')
		[ "$ready" = true ] && break
		sleep 0.1
	done
	[ "$ready" = true ] || fail "instance $i is not ready after 10 s"
done

echo "== publish a configuration and wait until it is in force everywhere"
bin/anvilshunt config apply "$work/config.jsonc" --operator ada || fail "configuration"
for _ in $(seq 100); do
	owned=$(bin/anvilshunt target list 2>/dev/null | awk -F'\t' '$5 != ""' | wc -l)
	[ "$owned" -eq 8 ] && break
	sleep 0.1
done
[ "$owned" -eq 8 ] || fail "only $owned of 8 targets have an owner"
sleep 1 # until the owners have adopted their targets
bin/anvilshunt target list | cut -f1,3,5

echo "== submit a gang job of 16 accelerators"
bin/anvilshunt job submit --id storm-1 --account agency --service planner --shape rack-gang \
	--payload '{"run": 2000}' || fail "job"

echo "== send requests through all instances: repeatable ones, and ones that may run only once"
bin/anvilemu load --to "$servers" --rate 200 --duration 8s --accounts agency=3,clubs=1 --ids --prefix again \
	--repeatable yes --time 10ms --resend 20 --seed 1 --json >"$work/again.json" 2>"$work/again.log" &
again=$!
bin/anvilemu load --to "$servers" --rate 100 --duration 8s --accounts agency=3,clubs=1 --ids --prefix once \
	--repeatable no --time 10ms --resend 20 --seed 2 --json >"$work/once.json" 2>"$work/once.log" &
once=$!
sleep 3
echo "== kill -9 instance palermo-1 while requests are in flight"
kill -9 "${pids[1]}"
wait "${pids[1]}" 2>/dev/null
wait $again || fail "a repeatable request got a wrong answer: $(cat "$work/again.log")"
wait $once || fail "a request got a wrong answer: $(cat "$work/once.log")"

echo "== outcomes that the callers received"
for kind in again once; do
	printf '%s: ' "$kind"
	tr -d ' \n' <"$work/$kind.json" | grep -o '"sent":[0-9]*\|"wrong":[0-9]*\|"outcomes":{[^}]*}' | tr '\n' ' '
	echo
done
grep -q '"wrong": 0' "$work/once.json" && grep -q '"wrong": 0' "$work/again.json" || fail "wrong answers"
grep -q '"done": [1-9]' "$work/once.json" || fail "no request was done"

echo "== wait for the gang job at the remaining instances"
bin/anvilshunt job wait storm-1 --timeout 20s || fail "the gang job did not end"

echo "== check the targets for overload and repeated requests"
bin/anvilemu check --targets "$targets" --once once || fail "a target was overloaded or a request ran twice"

echo "== stop the other instances gracefully"
kill -TERM "${pids[2]}" "${pids[3]}"
for i in 2 3; do
	wait "${pids[$i]}" || fail "instance $i did not stop cleanly"
done
echo "demo: ok"
