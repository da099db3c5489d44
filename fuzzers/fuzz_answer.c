/* Fuzzes the reading of the answers of workers to orders. */

#include "driver.h"
#include "platform.h"

/* Reads each byte of an answer's lists. */
static size_t
sum_lists(const struct mst_order_answer *answer)
{
	size_t sum = 0;
	uint32_t i;

	for (i = 0; i < answer->running_count; i++)
		sum += answer->running[i].task.len + answer->running[i].run;
	for (i = 0; i < answer->completion_count; i++)
		sum += answer->completions[i].task.len +
		    answer->completions[i].run +
		    (size_t)answer->completions[i].status;
	return sum;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const int statuses[] = {200, 409, 421, 503};
	static volatile size_t sum;
	char *body = g_strndup((const char *)data, len);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(statuses); i++) {
		struct platform_answer answer = {
		    .answer = {
			.kind = i == 1 ? MST_ORDER_START : MST_ORDER_RENEW}};

		platform_answer_read(&answer, statuses[i], body, len, "w");
		sum += sum_lists(&answer.answer);
		platform_answer_clear(&answer);
	}
	g_free(body);
	return 0;
}

#ifndef MST_LIBFUZZER

int
main(void)
{
	return fuzz_run_corpus("answer");
}

#endif
