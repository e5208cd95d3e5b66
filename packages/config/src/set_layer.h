#ifndef SET_LAYER_H
#define SET_LAYER_H

/* The size limit and error codes of all settings files. */

#include "yml.h"

extern const struct yml_file_type set_layer;

#endif
