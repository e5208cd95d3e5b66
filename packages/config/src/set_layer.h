#ifndef SET_LAYER_H
#define SET_LAYER_H

/* How errors in files of settings are reported: layer settings. */

#include "yml.h"

extern const struct yml_layer set_layer;

#endif
