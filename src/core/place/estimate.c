#include "core/place/estimate.h"

#include <glib.h>
#include <math.h>

/* Prior of the slope, used while there are few samples: it equals samples with
 * this variance of the declared times on a line with a slope of 1. Its weight
 * is PRIOR_SAMPLES samples. */
#define PRIOR_VARIANCE 0.05
#define PRIOR_SAMPLES  8.0
/* Prior of the variance of the errors, used while there are few samples. */
#define PRIOR_ERROR_VARIANCE 0.1

double
mst_estimate_us(const struct mst_estimate *estimate, double declared_us)
{
	double declared = log(MAX(declared_us, 1.0));
	double prior = PRIOR_VARIANCE * PRIOR_SAMPLES / (estimate->samples + 1);
	double slope;

	if (estimate->samples == 0)
		return declared_us;
	slope = (estimate->covariance + prior) / (estimate->variance + prior);
	return exp(estimate->mean_observed +
	    CLAMP(slope, 0, 1) * (declared - estimate->mean_declared));
}

void
mst_estimate_add_sample(struct mst_estimate *estimate, double declared_us,
    double observed_us, double window)
{
	double declared = log(MAX(declared_us, 1.0));
	double observed = log(MAX(observed_us, 1.0));
	double declared_deviation = declared - estimate->mean_declared;
	double observed_deviation = observed - estimate->mean_observed;
	double error = observed - log(mst_estimate_us(estimate, declared_us));
	double weight;

	if (estimate->samples < window)
		estimate->samples++;
	weight = 1 / estimate->samples;
	estimate->error_variance +=
	    weight * (error * error - estimate->error_variance);
	estimate->mean_declared += weight * declared_deviation;
	estimate->mean_observed += weight * observed_deviation;
	estimate->variance += weight *
	    ((1 - weight) * declared_deviation * declared_deviation -
		estimate->variance);
	estimate->covariance += weight *
	    ((1 - weight) * declared_deviation * observed_deviation -
		estimate->covariance);
}

double
mst_estimate_overrun(const struct mst_estimate *estimate, double deviations)
{
	double prior_weight =
	    PRIOR_SAMPLES / (PRIOR_SAMPLES + estimate->samples);
	double variance = estimate->error_variance * (1 - prior_weight) +
	    PRIOR_ERROR_VARIANCE * prior_weight;

	return exp(deviations * sqrt(variance));
}
