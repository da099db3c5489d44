/*
 * Tests of the estimate of service times: what it learns about the error of
 * declared times.
 */

#include <glib.h>
#include <math.h>

#include "core/place/estimate.h"
#include "sim/load.h"

#define SAMPLES     400
#define WINDOW      128.0
#define DECLARED_MS 200.0
#define DEVIATIONS  2.0

/* Returns the factor that is learnt from times that differ from the declared
 * ones by a log-normal factor of sigma. */
static double
learn_overrun(double sigma)
{
	struct mst_estimate estimate = {0};
	GRand *rand = g_rand_new_with_seed(1);
	int i;

	for (i = 0; i < SAMPLES; i++) {
		double declared_us =
		    DECLARED_MS * 1000 * exp(0.5 * load_random_normal(rand));
		double observed_us =
		    declared_us * exp(sigma * load_random_normal(rand));

		mst_estimate_add_sample(
		    &estimate, declared_us, observed_us, WINDOW);
	}
	g_rand_free(rand);
	return mst_estimate_overrun(&estimate, DEVIATIONS);
}

/* The factor must cover the errors that there are, within a fifth. */
static void
estimate__overrun_follows_the_errors(void)
{
	const double sigmas[] = {0.2, 0.4, 0.8};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sigmas); i++) {
		double deviation = log(learn_overrun(sigmas[i])) / DEVIATIONS;

		g_test_message("sigma %.1f: learnt %.3f", sigmas[i], deviation);
		g_assert_cmpfloat(deviation, >=, sigmas[i] * 0.8);
		g_assert_cmpfloat(deviation, <=, sigmas[i] * 1.2);
	}
}

/* Without samples, some error has to be allowed for. */
static void
estimate__overrun_without_samples(void)
{
	const struct mst_estimate estimate = {0};

	g_assert_cmpfloat(mst_estimate_overrun(&estimate, DEVIATIONS), >, 1);
	g_assert_cmpfloat(mst_estimate_overrun(&estimate, 0), ==, 1);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/estimate/overrun-follows-the-errors",
	    estimate__overrun_follows_the_errors);
	g_test_add_func("/estimate/overrun-without-samples",
	    estimate__overrun_without_samples);
	return g_test_run();
}
