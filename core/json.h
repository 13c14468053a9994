/* json.h -- parsing of JSON that comes from outside  */

#ifndef BL_JSON_H
#define BL_JSON_H

#include "boragelatch.h"

#include <jansson.h>

#define BL_JSON_DEPTH_MAX 32 /* arrays and objects inside one another */

/* Parses TEXT.  Returns a new reference, or NULL with *ERROR set (which may be
   NULL) if TEXT is not valid or is nested deeper than BL_JSON_DEPTH_MAX.  */
json_t *bl_json_parse (struct bl_str text, json_error_t *error);

#endif
