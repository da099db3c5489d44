#ifndef MST_OPERATORS_H
#define MST_OPERATORS_H

#include <glib.h>
#include <masticstall/settings.h>

/*
 * Finds the operator whose token an Authorization header carries; NULL when
 * there is none. operators holds struct mst_operator_settings.
 */
const char *mst_operator_authenticate(
    const GArray *operators, struct mst_bytes authorization);

#endif
