#ifndef MST_FUZZ_DRIVER_H
#define MST_FUZZ_DRIVER_H

/*
 * Runs a fuzz target on FUZZ_INPUTS inputs: samples that a seeded generator has
 * mutated. MST_FUZZ_INPUTS=N and MST_FUZZ_SEED=N ask for other runs. With
 * MST_LIBFUZZER defined the target is linked with libFuzzer's main() instead.
 */

#include <glib.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define FUZZ_INPUTS        100000
#define FUZZ_SEED          20261203
#define FUZZ_MUTATIONS_END 6 /* an input has fewer mutations than this */
#define FUZZ_APPEND_BYTES  8 /* copies of a byte that one mutation appends */
#define FUZZ_MUTATIONS     4 /* kinds of them, but for those with tokens */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#ifndef MST_LIBFUZZER

/* Returns a number from the environment. */
static inline guint64
fuzz_option(const char *name, guint64 absent)
{
	const char *text = g_getenv(name);

	return text != NULL ? g_ascii_strtoull(text, NULL, 10) : absent;
}

/* Sets or removes a byte, flips a bit, or appends copies of a byte. */
static inline void
fuzz_mutate(GRand *rand, GByteArray *input)
{
	guint position =
	    (guint)g_rand_int_range(rand, 0, (gint32)input->len + 1);
	guint8 byte = (guint8)g_rand_int_range(rand, 0, 256);
	int appended;

	switch (g_rand_int_range(rand, 0, FUZZ_MUTATIONS)) {
	case 0:
		if (position < input->len)
			input->data[position] = byte;
		break;
	case 1:
		if (position < input->len)
			g_byte_array_remove_index(input, position);
		break;
	case 2:
		for (appended = 0;
		     appended < FUZZ_APPEND_BYTES && input->len > position;
		     appended++) {
			byte = input->data[position];
			g_byte_array_append(input, &byte, 1);
		}
		break;
	case 3:
		if (position < input->len)
			input->data[position] ^=
			    (guint8)(1 << g_rand_int_range(rand, 0, 8));
		break;
	}
}

/* Returns the length of what a mutation replaces: a number, a word, or one
 * byte. */
static inline guint
fuzz_span(const GByteArray *input, guint position)
{
	guint end = position;

	while (end < input->len &&
	    (g_ascii_isalnum(input->data[end]) || input->data[end] == '.' ||
		input->data[end] == '-'))
		end++;
	return MAX(end, MIN(position + 1, input->len)) - position;
}

/* Replaces a number, a word or a byte by a token, or inserts the token. */
static inline void
fuzz_mutate_token(GRand *rand, GByteArray *input, const char *const *tokens)
{
	gint32 count = (gint32)g_strv_length((char **)tokens);
	const char *token = tokens[g_rand_int_range(rand, 0, count)];
	guint position =
	    (guint)g_rand_int_range(rand, 0, (gint32)input->len + 1);
	guint span = g_rand_boolean(rand) ? fuzz_span(input, position) : 0;
	GByteArray *rest = g_byte_array_new();

	g_byte_array_append(
	    rest, input->data + position + span, input->len - position - span);
	g_byte_array_set_size(input, position);
	g_byte_array_append(input, (const guint8 *)token, (guint)strlen(token));
	g_byte_array_append(input, rest->data, rest->len);
	g_byte_array_unref(rest);
}

/* Runs the target on mutations of each sample in turn; returns 0. tokens, ended
 * by NULL, are used in half of the mutations; NULL: there are none. */
static inline int
fuzz_run_tokens(GBytes *const *samples, int count, const char *const *tokens)
{
	GRand *rand = g_rand_new_with_seed(
	    (guint32)fuzz_option("MST_FUZZ_SEED", FUZZ_SEED));
	guint64 inputs = fuzz_option("MST_FUZZ_INPUTS", FUZZ_INPUTS), i;
	GByteArray *input = g_byte_array_new();
	gsize len;
	const guint8 *sample;
	int mutations;

	for (i = 0; i < inputs; i++) {
		sample = g_bytes_get_data(samples[i % (guint)count], &len);
		g_byte_array_set_size(input, 0);
		g_byte_array_append(input, sample, (guint)len);
		for (mutations = g_rand_int_range(rand, 0, FUZZ_MUTATIONS_END);
		     mutations > 0; mutations--) {
			if (tokens != NULL && g_rand_boolean(rand))
				fuzz_mutate_token(rand, input, tokens);
			else
				fuzz_mutate(rand, input);
		}
		LLVMFuzzerTestOneInput(input->data, input->len);
	}
	printf("%" G_GUINT64_FORMAT " inputs\n", inputs);
	g_byte_array_unref(input);
	g_rand_free(rand);
	return 0;
}

static inline int
fuzz_run(GBytes *const *samples, int count)
{
	return fuzz_run_tokens(samples, count, NULL);
}

static inline gint
fuzz_compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Runs the target on mutations of the files in fuzzers/corpus/NAME with tokens
 * of JSON. Returns 0, or 1 if there are no files. */
static inline int
fuzz_run_corpus(const char *name)
{
	static const char *const tokens[] = {"1e400", "-1e400", "1e-400", "-0",
	    "-1", "0", "0.5", "4294967296", "9007199254740993",
	    "18446744073709551615", "null", "true", "\"\"", "[]", "{}", "[[",
	    "{\"a\":", "\"\\u0000\"", "\"\xff\"", "\"65536\"", ":0", ",", NULL};
	char *directory = g_build_filename("fuzzers", "corpus", name, NULL);
	GDir *dir = g_dir_open(directory, 0, NULL);
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *samples =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	const char *file;
	char *text;
	gsize len;
	guint i;
	int rc = 1;

	while (dir != NULL && (file = g_dir_read_name(dir)) != NULL)
		g_ptr_array_add(paths, g_build_filename(directory, file, NULL));
	g_ptr_array_sort(paths, fuzz_compare_names);
	for (i = 0; i < paths->len; i++) {
		if (g_file_get_contents(paths->pdata[i], &text, &len, NULL))
			g_ptr_array_add(samples, g_bytes_new_take(text, len));
	}
	if (samples->len > 0)
		rc = fuzz_run_tokens(
		    (GBytes *const *)samples->pdata, (int)samples->len, tokens);
	else
		fprintf(stderr, "no samples in %s\n", directory);
	g_ptr_array_unref(samples);
	g_ptr_array_unref(paths);
	if (dir != NULL)
		g_dir_close(dir);
	g_free(directory);
	return rc;
}

#endif
#endif
