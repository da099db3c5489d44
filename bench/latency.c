/*
 * Measures the latency that an entry and an agent add to a request. Sends the
 * same small request alternately to an upstream directly and through an entry,
 * over persistent connections, and prints the response times of both paths.
 *
 * Usage: bench-latency UPSTREAM-URL ENTRY-URL [COUNT]
 */

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/stats.h"

static size_t
discard_body(char *data, size_t size, size_t count, void *ctx)
{
	return size * count;
}

static CURL *
new_client(const char *url)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "x");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	return easy;
}

static double
measure_request_us(CURL *easy)
{
	gint64 started_us = g_get_monotonic_time();
	long status = 0;

	if (curl_easy_perform(easy) != CURLE_OK)
		g_error("request failed");
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	if (status != 200)
		g_error("unexpected HTTP status %ld", status);
	return (double)(g_get_monotonic_time() - started_us);
}

int
main(int argc, char **argv)
{
	int count = argc > 3 ? atoi(argv[3]) : 5000;
	GArray *times[2];
	CURL *clients[2];
	double elapsed_us;
	int round, path;

	if (argc < 3) {
		fprintf(stderr,
		    "Usage: bench-latency UPSTREAM-URL ENTRY-URL "
		    "[COUNT]\n");
		return 2;
	}
	for (path = 0; path < 2; path++) {
		clients[path] = new_client(argv[1 + path]);
		times[path] = g_array_new(FALSE, FALSE, sizeof(double));
		measure_request_us(clients[path]);
	}
	for (round = 0; round < count; round++) {
		for (path = 0; path < 2; path++) {
			elapsed_us = measure_request_us(clients[path]);
			g_array_append_val(times[path], elapsed_us);
		}
	}
	for (path = 0; path < 2; path++) {
		mst_stats_sort(times[path]);
		printf("%-8s p50 %6.0f us  p99 %6.0f us\n",
		    path ? "entry" : "direct",
		    mst_stats_quantile(times[path], 0.5),
		    mst_stats_quantile(times[path], 0.99));
		g_array_unref(times[path]);
		curl_easy_cleanup(clients[path]);
	}
	return 0;
}
