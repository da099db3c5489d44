#ifndef MST_ESTIMATE_H
#define MST_ESTIMATE_H

/*
 * Expected time of a task from the time that was declared for it: a line
 * through the logarithms of both, learnt from results. Rough declarations are
 * drawn towards the mean of their queue.
 */

struct mst_estimate {
	double samples;
	double mean_declared; /* of the logarithms */
	double mean_observed;
	double variance; /* of the declared */
	double covariance;
};

/* Expected time; the declared one without samples. */
double mst_estimate_us(const struct mst_estimate *estimate, double declared_us);

/* Takes in one observation; later ones weigh 1/window. */
void mst_estimate_add_sample(struct mst_estimate *estimate, double declared_us,
    double observed_us, double window);

#endif
