#ifndef MST_FUZZ_DRIVER_H
#define MST_FUZZ_DRIVER_H

/*
 * Runs a fuzz target on FUZZ_INPUTS inputs: samples that a seeded generator has
 * mutated. With MST_LIBFUZZER defined the target is linked with libFuzzer's
 * main() instead.
 */

#include <glib.h>
#include <stdint.h>
#include <stdio.h>

#define FUZZ_INPUTS        100000
#define FUZZ_SEED          20261203
#define FUZZ_MUTATIONS_END 6 /* an input has fewer mutations than this */
#define FUZZ_APPEND_BYTES  8 /* copies of a byte that one mutation appends */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

#ifndef MST_LIBFUZZER

/* Sets or removes a byte, flips a bit, or appends copies of a byte. */
static inline void
fuzz_mutate(GRand *rand, GByteArray *input)
{
	guint position =
	    (guint)g_rand_int_range(rand, 0, (gint32)input->len + 1);
	guint8 byte = (guint8)g_rand_int_range(rand, 0, 256);
	int appended;

	switch (g_rand_int_range(rand, 0, 4)) {
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

/* Runs the target on mutations of each sample in turn; returns 0. */
static inline int
fuzz_run(GBytes *const *samples, int count)
{
	GRand *rand = g_rand_new_with_seed(FUZZ_SEED);
	GByteArray *input = g_byte_array_new();
	gsize len;
	const guint8 *sample;
	int i, mutations;

	for (i = 0; i < FUZZ_INPUTS; i++) {
		sample = g_bytes_get_data(samples[i % count], &len);
		g_byte_array_set_size(input, 0);
		g_byte_array_append(input, sample, (guint)len);
		for (mutations = g_rand_int_range(rand, 0, FUZZ_MUTATIONS_END);
		     mutations > 0; mutations--)
			fuzz_mutate(rand, input);
		LLVMFuzzerTestOneInput(input->data, input->len);
	}
	printf("%d inputs\n", FUZZ_INPUTS);
	g_byte_array_unref(input);
	g_rand_free(rand);
	return 0;
}

#endif
#endif
