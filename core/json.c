/* json.c -- parsing of JSON that comes from outside

   The parser recurses for each level of nesting, up to 2048 levels, which does
   not fit on the stack of a small thread.  So the depth of a text is checked
   before it is parsed.  */

#include "core/json.h"

#include <stdio.h>
#include <string.h>

/* Returns true if no bracket of TEXT opens a level beyond BL_JSON_DEPTH_MAX.
   Brackets inside strings do not count.  */
static bool
is_shallow (struct bl_str text)
{
  unsigned depth = 0;
  bool in_string = false;

  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.ptr[i];
      if (c == '"')
        in_string = !in_string;
      else if (in_string && c == '\\')
        i++;
      else if (!in_string && (c == '[' || c == '{')
               && ++depth > BL_JSON_DEPTH_MAX)
        return false;
      else if (!in_string && (c == ']' || c == '}') && depth > 0)
        depth--;
    }
  return true;
}

json_t *
bl_json_parse (struct bl_str text, json_error_t *error)
{
  if (is_shallow (text))
    return json_loadb (text.ptr, text.len, 0, error);
  if (error != NULL)
    {
      *error = (json_error_t){ .line = 1 };
      snprintf (error->text, sizeof error->text, "nested deeper than %d levels",
                BL_JSON_DEPTH_MAX);
    }
  return NULL;
}
