# Functions for systems with runners, callers and a store of the platform, and
# the checks of what callers and runners have seen. Sourced by other scripts after
# script/lib.sh, with the address of the store in STORE.

# The configuration that the store has, as its operator writes it.
CONFIG='{"version":9,"routes":[{"name":"q","host":"a.example","prefix":"/p/",
"service":"s","priority":0,"attempts":3,"timeoutMs":3000,"stretch":1.6,
"targetLatencyMs":60},{"name":"crash","host":"a.example","prefix":"/crash/",
"service":"s","priority":1,"attempts":3,"timeoutMs":3000,"stretch":1.6,
"targetLatencyMs":60}],"services":[]}'

# commit_rows JSON: applies a transaction of the operator in the store.
commit_rows() {
	curl -fsS -o /dev/null -d "$1" "http://$STORE/v1/rows-tx?operator"
}

# set_store JSON: sets the faults of the store.
set_store() {
	curl -fsS -o /dev/null -X PUT -d "$1" "http://$STORE/faults"
}

# write_config: writes the configuration into the store.
write_config() {
	commit_rows '{"setKeys":[{"table":"op","part":"","key":"config",
	    "value":"'"$(printf '%s' "$CONFIG" | base64 -w 0)"'"}]}'
}

# overlapping_runs: prints each start of a task while another run of it was in
# progress at some runner.
overlapping_runs() {
	cat "$RUN"/runner*.out | sort -n -k2,2 -s | awk '
		$1 == "start" { if (++open[$3] > 1) print }
		$1 == "end" { open[$3]-- }'
}

# started_refused: prints the jobs of which a task has started although every
# submission was refused. Those sent again had no answer before.
started_refused() {
	awk 'FNR == NR { if ($2 == "refused" && $5 == 1) refused[$1] = 1; next }
	    $1 == "start" { split($3, part, "."); if (part[1] in refused) print part[1] }' \
	    <(cat "$RUN"/caller*.out) <(cat "$RUN"/runner*.out) | sort -u
}

# incomplete_jobs: prints the jobs that were answered as completed although not
# each of their tasks has ended so.
incomplete_jobs() {
	awk 'FNR == NR {
		if ($1 == "end" && $5 == "done" && !seen[$3]++) {
			split($3, part, ".")
			done[part[1]]++
		}
		next
	    }
	    $2 == "completed" && done[$1] < $7' \
	    <(cat "$RUN"/runner*.out) <(cat "$RUN"/caller*.out)
}
