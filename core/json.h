/* json.h -- parsing of JSON that comes from outside  */

#ifndef BL_JSON_H
#define BL_JSON_H

#include "boragelatch.h"

#include <jansson.h>

#define BL_JSON_DEPTH_MAX 32 /* arrays and objects inside one another */

/* Parses TEXT.  Returns a new reference, or NULL with *ERROR set (which may be
   NULL) if TEXT is not valid or is nested deeper than BL_JSON_DEPTH_MAX.  */
json_t *bl_json_parse (struct bl_str text, json_error_t *error);

/* The following split a text into parts without parsing these, so that one part
   that cannot be parsed does not make the others unreadable.  Parts are slices
   of TEXT, without white space around them.  */

/* Returns true if TEXT begins with { and ends with the bracket that closes
   it.  */
bool bl_json_is_object (struct bl_str text);
/* Stores in OUT the value of the first member NAME of the object TEXT.  Returns
   false if TEXT is not an object up to there, or has no such member.  */
bool bl_json_member (struct bl_str text, const char *name, struct bl_str *out);
/* Stores in OUT the element of the list TEXT at *POS, which must be 0 at first,
   and advances *POS past it.  Returns 1, 0 at the end of the list, or
   BL_EFORMAT if TEXT is not a list there.  */
int bl_json_element (struct bl_str text, size_t *pos, struct bl_str *out);
/* Parses TEXT, which may be a value of any type; otherwise like
   bl_json_parse.  */
json_t *bl_json_parse_value (struct bl_str text);

#endif
