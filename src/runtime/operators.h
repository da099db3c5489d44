#ifndef MST_OPERATORS_H
#define MST_OPERATORS_H

#include <glib.h>
#include <masticstall/settings.h>

/*
 * Returns the name of the operator whose token an Authorization header carries,
 * or NULL if no operator has it. operators is an array of struct
 * mst_operator_settings, which owns the name.
 */
const char *mst_operator_authenticate(
    const GArray *operators, struct mst_bytes authorization);

#endif
