#ifndef MST_ESTIMATE_H
#define MST_ESTIMATE_H

/**
 * Estimate of the service time of a task from its declared time: a linear
 * regression of the logarithms of the observed times on those of the declared
 * times. The less the declared times tell about the observed ones, the closer
 * the estimate is to the mean observed time.
 */
struct mst_estimate {
	double samples; /* number of samples, at most the window */
	/* Moving averages over the logarithms of the times. */
	double mean_declared;
	double mean_observed;
	double variance; /* of the declared times */
	double covariance;
	double error_variance; /* of observed times about the estimates */
};

/**
 * Estimates the service time of a task.
 *
 * @param estimate samples so far
 * @param declared_us declared time in microseconds
 * @return the expected time in microseconds; without samples, declared_us
 */
double mst_estimate_us(const struct mst_estimate *estimate, double declared_us);

/**
 * Returns the factor by which the service time of a task may exceed its
 * estimate.
 *
 * @param estimate samples so far
 * @param deviations standard deviations of the error that are allowed for
 * @return the factor, at least 1
 */
double mst_estimate_overrun(
    const struct mst_estimate *estimate, double deviations);

/**
 * Adds an observation.
 *
 * @param estimate estimate to update
 * @param declared_us declared time in microseconds
 * @param observed_us observed time in microseconds
 * @param window number of samples after which each new one weighs 1/window
 */
void mst_estimate_add_sample(struct mst_estimate *estimate, double declared_us,
    double observed_us, double window);

#endif
