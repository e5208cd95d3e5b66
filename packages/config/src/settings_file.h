#ifndef SETTINGS_FILE_H
#define SETTINGS_FILE_H

/* The size limit and error codes of all settings files. */

#include "yml.h"

extern const struct yml_file_type settings_file_type;

#endif
