# Functions that start and stop a local fleet; sourced by the other tools. The id of each started
# process is recorded in pids.txt, and only these processes are stopped.

OUT="${OUT:-$(mktemp -d)}"
PROFILE="${PROFILE:-release}"
PROGRAMS="${CARGO_TARGET_DIR:-target}/$PROFILE"
declare -A FLEET_PID_OF=()

# fleet_build: builds the programs and sets PROGRAMS to their folder.
fleet_build() {
  local flags=(--quiet --bins)
  [ "$PROFILE" = release ] && flags+=(--release)
  cargo build "${flags[@]}"
  PROGRAMS="$(cd "$PROGRAMS" && pwd)"
}

# fleet_lay_out: writes the settings, objects and commands of a fleet to OUT.
fleet_lay_out() {
  "$PROGRAMS/sillbank-load" fleet --out "$OUT" --programs "$PROGRAMS" ${FLEET_FLAGS:-} \
    --halls "${HALLS:-3}" --vms "${VMS:-9}" --engines "${ENGINES:-40}" \
    --cost-factor "${COST_FACTOR:-1.0}" --chain-policy "${CHAIN_POLICY:-least_finish}"
}

# fleet_launch NAME: starts the process of that name with its command in commands.txt.
fleet_launch() {
  local name command
  while read -r name command; do
    if [ "$name" = "$1" ]; then
      $command >>"$OUT/$name.log" 2>&1 &
      disown $!
      FLEET_PID_OF[$name]=$!
      echo "$name $!" >>"$OUT/pids.txt"
      return
    fi
  done <"$OUT/commands.txt"
  echo "no process is called $1" >&2
  return 1
}

# fleet_await_slots: waits, with 300 polls 0.1 s apart, until every slot of idempotency keys is held by a VM.
fleet_await_slots() {
  local held admin wanted
  wanted="$(fleet_address .slots)"
  for _ in $(seq 300); do
    held=0
    for admin in $(fleet_address '.control_admins[]'); do
      held=$((held + $(curl -s "http://$admin/v1/status" | jq '.slots | length')))
    done
    [ "$held" -ge "$wanted" ] && return
    sleep 0.1
  done
  echo "only $held of $wanted slots are held" >&2
  return 1
}

# fleet_address FILTER: prints the result of a jq filter on addresses.json.
fleet_address() { jq -r "$1" "$OUT/addresses.json"; }

# fleet_start: starts all processes, applies the objects and waits until the fleet is ready.
fleet_start() {
  local name command
  while read -r name command; do
    $command >>"$OUT/$name.log" 2>&1 &
    disown $!
    FLEET_PID_OF[$name]=$!
    echo "$name $!" >>"$OUT/pids.txt"
  done <"$OUT/commands.txt"
  local load="$PROGRAMS/sillbank-load"
  "$load" wait --path /list --addresses "$(fleet_address .platform)"
  "$load" wait --path /healthz --addresses "$(fleet_address '.control_admins|join(",")')"
  SILLBANK_KEY=local-operator-key SILLBANK_CONTROL="$(fleet_address '.control_admins[0]')" \
    "$PROGRAMS/sillbank" apply "$OUT/objects" --why "local fleet" >"$OUT/apply.log"
  local admins engines
  admins="$(fleet_address '.entry_admins|join(",")')"
  engines="$(fleet_address '.engines|join(",")')"
  [ -z "$admins" ] || fleet_await_slots
  [ -z "$admins" ] || "$load" wait --path /readyz --addresses "$admins"
  [ -z "$engines" ] || "$load" wait --path /v1/load --addresses "$engines"
}

# fleet_fault NUMBER JSON: injects a fault into an engine stand-in.
fleet_fault() {
  curl -fsS -X POST -d "$2" "http://$(fleet_address ".engines[$1]")/admin/faults" >/dev/null
}

# fleet_pids: prints the ids of this fleet's running processes, including those that a background
# part of a script started. Ids that now belong to another program are skipped.
fleet_pids() {
  local name pid
  [ -e "$OUT/pids.txt" ] || return 0
  while read -r name pid; do
    if { tr '\0' ' ' <"/proc/$pid/cmdline"; } 2>/dev/null | grep -q "^$PROGRAMS/sillbank-"; then
      echo "$pid"
    fi
  done <"$OUT/pids.txt"
}

# fleet_end: kills the processes of the fleet and waits until they have exited.
fleet_end() {
  local pid
  for pid in $(fleet_pids); do
    kill -CONT "$pid" 2>/dev/null || true
    kill -9 "$pid" 2>/dev/null || true
  done
  while [ -n "$(fleet_pids)" ]; do sleep 0.05; done
  FLEET_PID_OF=()
}
