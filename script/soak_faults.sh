# Faults of script/soak. A round draws its faults first, as a plan of actions with
# times, and then carries it out, so that the faults depend on the seed alone.
# With FAULTS=recorded only kinds are drawn that the first seeds in
# tests/soak_seeds.txt had, so that these draw what they drew then.

FAULT_KINDS=(freeze kill term reload link-delay link-cut link-reset link-reset-one
    link-silence runner-crash runner-crash runner-exit runner-freeze
    runner-unhealthy runner-late runner-late runner-lost runner-late-crash
    runner-late-crash runners-late runners-late-crash runner-fails store-away store-slow store-busy
    store-loses store-compacts drain)
[ "$FAULTS" = recorded ] || FAULT_KINDS+=(host-power host-power hosts-power
    runner-clock runner-odd-report runner-odd-report runners-odd-report store-odd
    store-odd-operator)
ODD_REPORTS=(id future endless seq fields service delete)
ODD_ADDRESSES=20     # of a fault
CLOCK_STEP_MS=10000  # most
odd_writes=0         # of rows, by this script
config_version=9     # of the last configuration
declare -A RUNNER_STARTS # runner -> number of ids that it has had besides the first

# plan MS ACTION...: adds an action of this round, MS after its start.
plan() {
	echo "$*" >>"$RUN/plan"
}

now_ms() {
	echo $((${EPOCHREALTIME/./} / 1000))
}

# Carries out the actions of the plan at their times and logs them.
carry_out_plan() {
	local began due now action
	began=$(now_ms)
	while read -r due action; do
		now=$(($(now_ms) - began))
		[ "$now" -ge "$due" ] || sleep "$(awk "BEGIN { print ($due - $now) / 1000 }")"
		echo "$(cut -d' ' -f1 /proc/uptime) $action" >>"$RUN/actions.log"
		eval "$action"
	done < <(sort -n -s -k1,1 "$RUN/plan")
}

# end_process NAME SIGNAL: sends a signal to a process if it has not ended.
end_process() {
	kill "-$2" "$(pid_of "$1")" 2>/dev/null || true
}

# choose_new_id VARIABLE: draws whether a runner gets an id of its own when it is
# restarted.
choose_new_id() {
	if [ "$FAULTS" = recorded ]; then
		printf -v "$1" false
	else
		choose "$1" true false
	fi
}

# name_anew RUNNER: gives a runner that is not running yet another id.
name_anew() {
	RUNNER_STARTS[$1]=$((${RUNNER_STARTS[$1]:-0} + 1))
	RUNNER_IDS[$1]=i-${1#runner}-p${RUNNER_STARTS[$1]}
}

# restart_process NAME: starts a process that was ended; one that has not ended
# yet is killed. A runner that is frozen must write first what it ends.
restart_process() {
	case $1 in
	runner*)
		end_process "$1" CONT
		end_process "$1" TERM
		;;
	*) end_process "$1" KILL ;;
	esac
	wait "$(pid_of "$1")" 2>/dev/null || true
	start_process "$1"
}

plan_freeze() { # NAME AT
	local for_ms
	draw for_ms 200 3000
	plan "$2" end_process "$1" STOP
	plan $(($2 + for_ms)) end_process "$1" CONT
}

plan_restart() { # NAME AT SIGNAL DELAY_MAX_MS
	local delay_ms
	draw delay_ms 50 "$4"
	plan_restart_after "$1" "$2" "$3" "$delay_ms"
}

plan_restart_after() { # NAME AT SIGNAL DELAY_MS
	plan "$2" end_process "$1" "$3"
	plan $(($2 + $4)) restart_process "$1"
}

plan_exit() { # RUNNER AT
	local new_id
	choose_new_id new_id
	[ "$new_id" = false ] || plan "$2" name_anew "$1"
	plan_restart "$1" "$2" TERM 3000
}

# plan_runner NAME AT FROM TO LOW HIGH: sets faults of a runner and resets them.
plan_runner() {
	local for_ms
	draw for_ms "$5" "$6"
	plan "$2" set_runner "$1" "'$3'"
	plan $(($2 + for_ms)) set_runner "$1" "'$4'"
}

# The connections break with the runner's crash. While it is down it refuses
# connections or orders, or leaves orders unanswered.
plan_crash() { # NAME AT
	local down_ms
	draw down_ms 100 3000
	plan_crash_for "$1" "$2" "$down_ms"
}

plan_crash_for() { # NAME AT DOWN_MS
	local hangs refuses new_id
	choose hangs true false
	choose refuses true false
	choose_new_id new_id
	plan "$2" set_runner "$1" "'{\"crash_ms\":$3,\"hangs\":$hangs,\"refuses\":$refuses,\"new_id\":$new_id}'"
	plan "$2" set_link "orders${1#runner}" "'{\"reset\":true}'"
}

plan_late() { # NAME AT
	local share seed
	draw share 1 6
	draw seed 1 32767
	plan_runner "$1" "$2" "{\"late_share\":0.$share,\"seed\":$seed}" \
	    '{"late_share":0}' 1000 6000
}

# Orders are late, the runner crashes, and its agent does not reach it at times.
plan_late_crash() { # RUNNER AT
	local after_ms agent=agent${1#runner} trouble
	draw after_ms 200 2000
	plan_late "$1" "$2"
	plan_crash "$1" $(($2 + after_ms))
	choose trouble kill cut freeze none
	case $trouble in
	kill) plan_restart "$agent" $(($2 + after_ms)) KILL 5000 ;;
	cut) plan_link_cut "orders${1#runner}" $(($2 + after_ms)) ;;
	freeze) plan_freeze "$agent" $(($2 + after_ms)) ;;
	esac
}

# A host loses power while orders are late; its runner is back before its agent.
plan_power() { # RUNNER AT
	local after_ms down_ms later_ms
	draw after_ms 200 2000
	draw down_ms 100 3000
	draw later_ms 100 2000
	plan_late "$1" "$2"
	plan_crash_for "$1" $(($2 + after_ms)) "$down_ms"
	plan_restart_after "agent${1#runner}" $(($2 + after_ms)) KILL \
	    $((down_ms + later_ms))
}

# The time of day of a runner's host steps, which its next incarnation has.
plan_clock() { # RUNNER AT
	local step_ms
	draw step_ms "-$CLOCK_STEP_MS" "$CLOCK_STEP_MS"
	plan "$2" set_runner "$1" "'{\"wall_offset_ms\":$step_ms}'"
	plan_crash "$1" $(($2 + 1))
}

plan_odd_report() { # RUNNER AT
	local kind
	choose kind "${ODD_REPORTS[@]}"
	plan "$2" set_runner "$1" "'{\"odd_report\":\"$kind\"}'"
}

plan_odd_rows() { # AT
	local prefix
	odd_writes=$((odd_writes + 1))
	printf -v prefix '%03x' "$odd_writes"
	plan "$1" commit_addresses $((odd_writes * ODD_ADDRESSES)) "$ODD_ADDRESSES"
	plan "$1" commit_rows_of_all "$prefix"
}

plan_odd_operator() { # AT
	local value
	choose value "${ODD_VALUES[@]}"
	config_version=$((config_version + 1))
	plan "$1" commit_operator "$config_version" "'$value'"
}

# plan_many ACTION AT: plans the action for a third of the runners.
plan_many() {
	local runner
	for runner in "${RUNNERS[@]}"; do
		[ $((RANDOM % 3)) -ne 0 ] || "$1" "$runner" "$2"
	done
}

plan_link_cut() { # LINK AT
	local for_ms side
	draw for_ms 200 4000
	choose side in out both
	plan "$2" set_link "$1" "'{\"cut\":\"$side\"}'"
	plan $(($2 + for_ms)) set_link "$1" "'{\"cut\":\"\"}'"
}

plan_link_delay() { # LINK AT
	local for_ms delay_ms
	draw for_ms 500 4000
	draw delay_ms 5 400
	plan "$2" set_link "$1" "'{\"delay_ms\":$delay_ms}'"
	plan $(($2 + for_ms)) set_link "$1" "'{\"delay_ms\":0}'"
}

# Callers can't see that a connection of theirs went silent, so links to fronts
# are left out.
plan_silence() { # AT
	local link
	choose link "${LINKS[@]}"
	case $link in
	front*) link=bus${link#front} ;;
	esac
	plan "$1" set_link "$link" "'{\"silence\":true}'"
}

plan_store() { # AT JSON
	local for_ms
	draw for_ms 500 4000
	plan "$1" set_store "'$2'"
	plan $(($1 + for_ms)) set_store "'{}'"
}

plan_drain() { # AT
	local for_ms domain row
	draw for_ms 500 3000
	draw domain 1 "$ENTRY_COUNT"
	row='"table":"op","part":"","key":"evacuate/fd'$domain'"'
	plan "$1" commit_rows "'{\"setKeys\":[{$row,\"value\":\"e30=\"}]}'"
	plan $(($1 + for_ms)) commit_rows "'{\"remove\":[{$row}]}'"
}

# Draws a fault and adds its actions to the plan.
plan_fault() {
	local kind at daemon runner link which
	choose kind "${FAULT_KINDS[@]}"
	draw at 0 "$OFFSET_MAX_MS"
	# Agents are many; an entry is as likely as all of them.
	choose daemon "${AGENTS[@]}"
	choose which entry agent
	[ "$which" = agent ] || choose daemon "${ENTRIES[@]}"
	choose runner "${RUNNERS[@]}"
	choose link "${LINKS[@]}"
	echo "fault $kind at $at: $daemon $runner $link" >>"$RUN/faults.log"
	case $kind in
	freeze) plan_freeze "$daemon" "$at" ;;
	kill) plan_restart "$daemon" "$at" KILL 1500 ;;
	term) plan_restart "$daemon" "$at" TERM 5000 ;;
	reload) plan "$at" end_process "$daemon" HUP ;;
	link-delay) plan_link_delay "$link" "$at" ;;
	link-cut) plan_link_cut "$link" "$at" ;;
	link-reset) plan "$at" set_link "$link" "'{\"reset\":true}'" ;;
	link-reset-one) plan "$at" set_link "$link" "'{\"reset_one\":$RANDOM}'" ;;
	link-silence) plan_silence "$at" ;;
	runner-crash) plan_crash "$runner" "$at" ;;
	runner-exit) plan_exit "$runner" "$at" ;;
	runner-freeze) plan_freeze "$runner" "$at" ;;
	runner-unhealthy)
		plan_runner "$runner" "$at" '{"unhealthy":true}' \
		    '{"unhealthy":false}' 200 3000
		;;
	runner-late) plan_late "$runner" "$at" ;;
	runner-lost)
		plan_runner "$runner" "$at" '{"lost_share":0.4}' '{"lost_share":0}' 500 4000
		;;
	runner-late-crash) plan_late_crash "$runner" "$at" ;;
	runners-late) plan_many plan_late "$at" ;;
	runners-late-crash) plan_many plan_late_crash "$at" ;;
	runner-fails)
		plan_runner "$runner" "$at" '{"fail_share":0.5}' '{"fail_share":0}' 500 4000
		;;
	store-away) plan_store "$at" '{"away":true}' ;;
	store-slow) plan_store "$at" '{"delay_ms":700}' ;;
	store-busy) plan_store "$at" '{"busy":true}' ;;
	store-loses) plan_store "$at" '{"lose_answers":true}' ;;
	store-compacts) plan "$at" set_store "'{\"compact\":true}'" ;;
	drain) plan_drain "$at" ;;
	host-power) plan_power "$runner" "$at" ;;
	hosts-power) plan_many plan_power "$at" ;;
	runner-clock) plan_clock "$runner" "$at" ;;
	runner-odd-report) plan_odd_report "$runner" "$at" ;;
	runners-odd-report) plan_many plan_odd_report "$at" ;;
	store-odd) plan_odd_rows "$at" ;;
	store-odd-operator) plan_odd_operator "$at" ;;
	esac
}
