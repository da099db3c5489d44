/*
 * The HTTP client of the subcommands, and helpers to read their input and print
 * responses.
 */

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"

#define CLI_CONNECT_TIMEOUT_MS 3000L

static size_t
append_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static size_t
parse_header(char *line, size_t size, size_t count, void *ctx)
{
	struct cli_response *answer = ctx;
	const char *name = "retry-after:";
	size_t len = size * count;

	if (len > strlen(name) &&
	    g_ascii_strncasecmp(line, name, strlen(name)) == 0)
		answer->retry_after_s = strtol(line + strlen(name), NULL, 10);
	return len;
}

static struct curl_slist *
build_headers(const struct cli *cli, const char *const *headers)
{
	struct curl_slist *list = NULL;
	char *authorization;
	int i;

	for (i = 0; headers != NULL && headers[i] != NULL; i++)
		list = curl_slist_append(list, headers[i]);
	if (cli->token != NULL) {
		authorization =
		    g_strdup_printf("Authorization: Bearer %s", cli->token);
		list = curl_slist_append(list, authorization);
		g_free(authorization);
	}
	return curl_slist_append(list, "Expect:");
}

void
cli_call(struct cli_response *answer, const struct cli *cli, const char *method,
    const char *path, const char *const *headers, const char *body)
{
	struct curl_slist *list = build_headers(cli, headers);
	char *url = g_strdup_printf("%s%s", cli->entry, path);
	CURL *easy = curl_easy_init();
	CURLcode rc;

	*answer = (struct cli_response){.body = g_string_new(NULL)};
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, CLI_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer->body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	if (body != NULL) {
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	}
	rc = curl_easy_perform(easy);
	if (rc == CURLE_OK) {
		curl_easy_getinfo(
		    easy, CURLINFO_RESPONSE_CODE, &answer->status);
		answer->json =
		    cJSON_ParseWithLength(answer->body->str, answer->body->len);
	} else {
		answer->error = g_strdup(curl_easy_strerror(rc));
	}
	curl_easy_cleanup(easy);
	curl_slist_free_all(list);
	g_free(url);
}

void
cli_response_clear(struct cli_response *answer)
{
	cJSON_Delete(answer->json);
	g_string_free(answer->body, TRUE);
	g_free(answer->error);
	*answer = (struct cli_response){0};
}

const char *
cli_json_string(const cJSON *object, const char *name)
{
	const char *text = cJSON_GetStringValue(
	    cJSON_GetObjectItemCaseSensitive(object, name));

	return text != NULL ? text : "";
}

double
cli_json_number(const cJSON *object, const char *name)
{
	const cJSON *value = cJSON_GetObjectItemCaseSensitive(object, name);

	return cJSON_IsNumber(value) ? value->valuedouble : 0;
}

void
cli_print_json(const struct cli_response *answer)
{
	printf("%s%s", answer->body->str,
	    g_str_has_suffix(answer->body->str, "\n") ? "" : "\n");
}

enum cli_exit
cli_report(const struct cli *cli, const struct cli_response *answer)
{
	if (answer->status == 0) {
		fprintf(
		    stderr, "masticstall: %s: %s\n", cli->entry, answer->error);
		return CLI_UNREACHABLE;
	}
	if (cli->json)
		cli_print_json(answer);
	else
		fprintf(stderr, "masticstall: %s (%ld)%s%s\n",
		    *cli_json_string(answer->json, "title")
			? cli_json_string(answer->json, "title")
			: "request failed",
		    answer->status,
		    *cli_json_string(answer->json, "detail") ? ": " : "",
		    cli_json_string(answer->json, "detail"));
	if (!cli->json && *cli_json_string(answer->json, "ran"))
		fprintf(
		    stderr, "ran: %s\n", cli_json_string(answer->json, "ran"));
	if (!cli->json && answer->retry_after_s > 0)
		fprintf(stderr, "retry after %ld s\n", answer->retry_after_s);
	switch (answer->status) {
	case 400:
	case 401:
	case 422:
	case 428:
		return CLI_USAGE;
	case 412:
		return CLI_CONFLICT;
	case 504:
		return CLI_UNKNOWN;
	default:
		return CLI_FAILED;
	}
}

char *
cli_read_file(const char *path)
{
	GError *error = NULL;
	GString *input;
	char buffer[4096];
	size_t len;
	char *contents = NULL;

	if (strcmp(path, "-") == 0) {
		input = g_string_new(NULL);
		while ((len = fread(buffer, 1, sizeof(buffer), stdin)) > 0)
			g_string_append_len(input, buffer, (gssize)len);
		return g_string_free(input, FALSE);
	}
	if (!g_file_get_contents(path, &contents, NULL, &error)) {
		fprintf(stderr, "masticstall: %s\n", error->message);
		g_clear_error(&error);
	}
	return contents;
}
