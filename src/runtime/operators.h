#ifndef MST_OPERATORS_H
#define MST_OPERATORS_H

#include <glib.h>
#include <masticstall/settings.h>

/**
 * Looks up the operator whose token a request carries.
 *
 * @param operators array of struct mst_operator_settings
 * @param authorization value of the Authorization header; may be empty
 * @return the name of the operator, owned by the array, or NULL if no operator
 *     has this token
 */
const char *mst_operator_authenticate(
    const GArray *operators, struct mst_bytes authorization);

#endif
