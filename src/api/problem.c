#include "api/problem.h"

#include <cjson/cJSON.h>

static int
http_status_for_reason(enum mst_reason reason)
{
	switch (reason) {
	case MST_REASON_QUOTA:
	case MST_REASON_OVERLOAD:
		return 429;
	case MST_REASON_DEADLINE:
		return 503;
	default:
		return 503;
	}
}

static const char *
title_for_reason(enum mst_reason reason)
{
	switch (reason) {
	case MST_REASON_QUOTA:
		return "The team is past its quota";
	case MST_REASON_OVERLOAD:
		return "The queue is full";
	case MST_REASON_DEADLINE:
		return "The deadline can't be met";
	case MST_REASON_STOPPING:
		return "This entry is leaving";
	case MST_REASON_NO_CONFIG:
		return "No configuration is in force yet";
	case MST_REASON_NO_MEMBERS:
		return "No agent is known yet";
	case MST_REASON_OWNER_UNREACHABLE:
		return "The entry that owns the job can't be reached";
	default:
		return "The request was refused";
	}
}

struct mst_problem
mst_problem_from_refusal(const struct mst_entry_effect *effect)
{
	switch (effect->refusal) {
	case MST_REFUSAL_MISMATCH:
		return (struct mst_problem){.status = 422,
		    .type = "key-reused",
		    .title = "The ticket was used for another request",
		    .ran = "none"};
	case MST_REFUSAL_UNKNOWN_JOB:
		return (struct mst_problem){.status = 404,
		    .type = "unknown-job",
		    .title = "There is no such job"};
	case MST_REFUSAL_GONE:
		return (struct mst_problem){.status = 410,
		    .type = "answer-gone",
		    .title = "The job's answer is no longer kept",
		    .ran = "unknown"};
	case MST_REFUSAL_REASON:
		break;
	}
	return (struct mst_problem){
	    .status = http_status_for_reason(effect->reason),
	    .type = mst_reason_name(effect->reason),
	    .title = title_for_reason(effect->reason),
	    .ran = effect->may_have_run ? "unknown" : "none",
	    .retry_after_s = MAX(1, (effect->retry_after_ms + 999) / 1000)};
}

char *
mst_problem_json(const struct mst_problem *problem)
{
	cJSON *out = cJSON_CreateObject();
	char *type =
	    g_strdup_printf("urn:masticstall:problem:%s", problem->type);
	char *text, *copy;

	cJSON_AddStringToObject(out, "type", type);
	cJSON_AddStringToObject(out, "title", problem->title);
	cJSON_AddNumberToObject(out, "status", problem->status);
	if (problem->detail != NULL)
		cJSON_AddStringToObject(out, "detail", problem->detail);
	if (problem->ran != NULL)
		cJSON_AddStringToObject(out, "ran", problem->ran);
	if (problem->retry_after_s > 0)
		cJSON_AddNumberToObject(
		    out, "retry_after_s", problem->retry_after_s);
	text = cJSON_PrintUnformatted(out);
	copy = g_strdup(text);
	cJSON_free(text);
	cJSON_Delete(out);
	g_free(type);
	return copy;
}
