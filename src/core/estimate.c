#include "core/estimate.h"

#include <glib.h>
#include <math.h>

/* Before any sample, declarations are believed as if so much variance of them
 * had been seen to follow the truth. */
#define PRIOR_VARIANCE 0.05
#define PRIOR_SAMPLES  8.0

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
	double off_declared = declared - estimate->mean_declared;
	double off_observed = observed - estimate->mean_observed;
	double share;

	if (estimate->samples < window)
		estimate->samples++;
	share = 1 / estimate->samples;
	estimate->mean_declared += share * off_declared;
	estimate->mean_observed += share * off_observed;
	estimate->variance += share *
	    ((1 - share) * off_declared * off_declared - estimate->variance);
	estimate->covariance += share *
	    ((1 - share) * off_declared * off_observed - estimate->covariance);
}
