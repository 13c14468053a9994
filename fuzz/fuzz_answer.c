/* fuzz_answer.c -- parts of JSON texts that are read without parsing the rest:
   where the parser reads the whole text, the parts must be the same  */

#include "fuzz/fuzz.h"

#include "core/json.h"

#include <stdlib.h>
#include <string.h>

static void
compare_value (struct bl_str part, const json_t *want)
{
  json_t *json = bl_json_parse_value (part);

  if (json == NULL || !json_equal (json, want))
    abort ();
  json_decref (json);
}

static void
compare_elements (struct bl_str list, const json_t *want)
{
  struct bl_str part;
  size_t pos = 0;
  size_t count = 0;
  int more;

  while ((more = bl_json_element (list, &pos, &part)) > 0)
    compare_value (part, json_array_get (want, count++));
  if (more != 0 || count != json_array_size (want))
    abort ();
}

static void
compare_members (struct bl_str text, json_t *want)
{
  struct bl_str part;
  const char *key;
  json_t *value;

  if (!bl_json_is_object (text))
    abort ();
  json_object_foreach (want, key, value)
  {
    if (!bl_json_member (text, key, &part))
      abort ();
    compare_value (part, value);
    if (json_is_array (value))
      compare_elements (part, value);
  }
}

/* Returns false for a text that is nested deeper than the project reads.  */
static bool
is_read_whole (struct bl_str text)
{
  json_t *json = bl_json_parse (text, NULL);

  json_decref (json);
  return json != NULL;
}

/* Takes parts of a text that need not be valid.  */
static void
split (struct bl_str text)
{
  struct bl_str items;
  struct bl_str part;
  size_t pos = 0;

  if (!bl_json_member (text, "items", &items))
    return;
  while (bl_json_element (items, &pos, &part) > 0)
    bl_json_member (part, "meta", &items);
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  struct bl_str text = { (const char *)data, size };
  json_t *json;

  bl_json_is_object (text);
  split (text);
  /* Escaped names of members are not found, and of two with the same name the
     parser takes the last one.  */
  if (size > 0 && memchr (data, '\\', size) != NULL)
    return 0;
  json = json_loadb (text.ptr, text.len, JSON_REJECT_DUPLICATES, NULL);
  if (json_is_object (json) && is_read_whole (text))
    compare_members (text, json);
  json_decref (json);
  return 0;
}
