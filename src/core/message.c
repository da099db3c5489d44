#include <masticstall/message.h>
#include <masticstall/record.h>

#include <glib.h>
#include <string.h>

static const char *const outcome_names[] = {
    "none", "done", "not-run", "may-have-run"};

static const char *const reason_names[MST_REASON_MAX] = {
    [MST_REASON_NONE] = "none",
    [MST_REASON_WITHDRAWN] = "withdrawn",
    [MST_REASON_DRAINING] = "draining",
    [MST_REASON_BUSY] = "busy",
    [MST_REASON_DEADLINE] = "deadline",
    [MST_REASON_UPSTREAM_DOWN] = "upstream-down",
    [MST_REASON_UPSTREAM_RESET] = "upstream-reset",
    [MST_REASON_UPSTREAM_TIMEOUT] = "upstream-timeout",
    [MST_REASON_UPSTREAM_OVERSIZE] = "upstream-oversize",
    [MST_REASON_AGENT_LOST] = "agent-lost",
    [MST_REASON_FENCED] = "fenced",
    [MST_REASON_QUOTA] = "quota",
    [MST_REASON_OVERLOAD] = "overload",
    [MST_REASON_NO_FIT] = "no-fit",
    [MST_REASON_CANCELLED] = "cancelled",
    [MST_REASON_STOPPING] = "stopping",
    [MST_REASON_NO_CONFIG] = "no-config",
    [MST_REASON_NO_MEMBERS] = "no-members",
    [MST_REASON_TASK_FAILED] = "task-failed",
    [MST_REASON_OWNER_UNREACHABLE] = "owner-unreachable",
    [MST_REASON_HISTORY_LOST] = "history-lost",
    [MST_REASON_RUN_FAILED] = "run-failed",
    [MST_REASON_RUN_LOST] = "run-lost",
    [MST_REASON_LEASE_LAPSED] = "lease-lapsed",
    [MST_REASON_STALE] = "stale",
    [MST_REASON_CALLER_GONE] = "given-up",
    [MST_REASON_NO_QUEUE] = "no-queue",
    [MST_REASON_NOT_SERVED] = "not-served",
    [MST_REASON_WORKER_CRASHED] = "worker-crashed",
    [MST_REASON_RUN_USED] = "run-used",
    [MST_REASON_OTHER] = "other",
};

static const char *const type_names[MST_MSG_MAX] = {
    [MST_MSG_ANNOUNCE] = "announce",
    [MST_MSG_HEARTBEAT] = "heartbeat",
    [MST_MSG_DISPATCH] = "dispatch",
    [MST_MSG_RESULT] = "result",
    [MST_MSG_WITHDRAW] = "withdraw",
    [MST_MSG_FENCE] = "fence",
    [MST_MSG_FENCED] = "fenced",
    [MST_MSG_PEER] = "peer",
    [MST_MSG_CONFIG] = "config",
    [MST_MSG_CONFIG_REQUEST] = "config-request",
    [MST_MSG_CRASHES] = "crashes",
    [MST_MSG_UNCERTAIN_START] = "uncertain-start",
    [MST_MSG_UNCERTAIN_STARTS] = "uncertain-starts",
    [MST_MSG_BACKUP_STARTS] = "backup-starts",
    [MST_MSG_FORWARD] = "forward",
    [MST_MSG_FORWARDED] = "forwarded",
};

static const char *
find_name(const char *const *names, size_t count, int value)
{
	if (value < 0 || (size_t)value >= count || names[value] == NULL)
		return "invalid";
	return names[value];
}

const char *
mst_outcome_name(int outcome)
{
	return find_name(outcome_names, G_N_ELEMENTS(outcome_names), outcome);
}

const char *
mst_reason_name(int reason)
{
	return find_name(reason_names, G_N_ELEMENTS(reason_names), reason);
}

const char *
mst_msg_type_name(int type)
{
	return find_name(type_names, G_N_ELEMENTS(type_names), type);
}

struct mst_bytes
mst_bytes_from_str(const char *s)
{
	return (struct mst_bytes){.data = s, .len = s ? strlen(s) : 0};
}

bool
mst_bytes_equal_str(struct mst_bytes bytes, const char *text)
{
	return bytes.len == strlen(text) &&
	    (bytes.len == 0 || memcmp(bytes.data, text, bytes.len) == 0);
}

char *
mst_bytes_to_str(struct mst_bytes bytes)
{
	return g_strndup(bytes.data != NULL ? bytes.data : "", bytes.len);
}

const char *
mst_record_state_name(int state)
{
	static const char *const names[] = {
	    "none", "open", "complete", "failed", "cancelled"};

	return find_name(names, G_N_ELEMENTS(names), state);
}
