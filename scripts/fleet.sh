# Shared by run-local and scripts/measure-instance: a small fleet of processes on loopback.
# The caller sets `base`, the first of the ports that are used. Sourced, not run.

work=$(mktemp -d)
pids=()
jvm=(java -Xmx96m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1)

end_fleet() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap end_fleet EXIT

build() {
  echo "== building (log: target/build.log)"
  mkdir -p target
  mvn -B -ntp -DskipTests package >target/build.log 2>&1 || {
    tail -n 30 target/build.log
    exit 1
  }
  standins=$(ls "$PWD"/standins/target/*-all.jar)
  instance=$(ls "$PWD"/instance/target/*-all.jar)
  ctl=$(ls "$PWD"/ctl/target/*-all.jar)
}

# Starts a process in the background; $started is its id.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
}

call() { "${jvm[@]}" -jar "$standins" call "$@"; }

# id kind port failure-domain [serves version]
member() {
  printf '{"id":"%s","kind":"%s","address":"127.0.0.1:%s","failureDomain":"%s",' "$1" "$2" "$3" "$4"
  printf '"region":"local","leaving":false,"serves":"%s","version":"%s"}' "${5:-}" "${6:-}"
}

start_standins() {
  platform=127.0.0.1:$((base + 20))
  start platform "${jvm[@]}" -jar "$standins" platform --listen "$platform"
  start engine-a "${jvm[@]}" -jar "$standins" engine --version 7 --listen "127.0.0.1:$((base + 21))"
  start engine-b "${jvm[@]}" -jar "$standins" engine --version 7 --listen "127.0.0.1:$((base + 22))"
  start booking-a "${jvm[@]}" -jar "$standins" service --listen "127.0.0.1:$((base + 23))"
  start booking-b "${jvm[@]}" -jar "$standins" service --listen "127.0.0.1:$((base + 24))"
}

# Publishes the live list with the instances given as id:failure-domain, in the order of their ports.
publish_members() {
  local members number=0
  members="[$(member engine-a MODEL_ENGINE $((base + 21)) a drafting 7)"
  members+=",$(member engine-b MODEL_ENGINE $((base + 22)) b drafting 7)"
  members+=",$(member booking-a PLAIN_SERVICE $((base + 23)) a booking 3)"
  members+=",$(member booking-b PLAIN_SERVICE $((base + 24)) b booking 3)"
  for entry in "$@"; do
    members+=",$(member "${entry%%:*}" INSTANCE $((base + 4 + number)) "${entry##*:}")"
    number=$((number + 1))
  done
  call PUT "http://$platform/admin/members" --body "$members]" --attempts 60 >/dev/null
}

# Applies a copy, since `apply` notes in the folder which revision it stored.
apply_settings() {
  cp -r examples/local "$work/settings"
  "${jvm[@]}" -jar "$ctl" validate "$work/settings"
  "${jvm[@]}" -jar "$ctl" apply "$work/settings" --key-value "http://$platform"
}

# number id failure-domain
start_instance() {
  cat >"$work/$2.ini" <<INI
[instance]
id = $2
failure-domain = $3
region = local

[listen]
caller = 127.0.0.1:$((base + 1 + $1))
peer = 127.0.0.1:$((base + 4 + $1))
operator = 127.0.0.1:$((base + 7 + $1))

[platform]
key-value = http://$platform
live-list = http://$platform
INI
  start "$2" "${jvm[@]}" -jar "$instance" --config "$work/$2.ini"
}
