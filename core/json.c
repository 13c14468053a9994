/* json.c -- parsing of JSON that comes from outside

   The parser recurses for each level of nesting, up to 2048 levels, which does
   not fit on the stack of a small thread.  So the depth of a text is checked
   before it is parsed.

   The parser reads a text as a whole or not at all.  A text with parts of
   several writers is therefore split first: brackets are counted and strings
   skipped, without recursion and whatever the parts contain.  */

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

json_t *
bl_json_parse_value (struct bl_str text)
{
  return is_shallow (text)
             ? json_loadb (text.ptr, text.len, JSON_DECODE_ANY, NULL)
             : NULL;
}

/* -- parts of a text -- */

#define UNCLOSED SIZE_MAX

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static size_t
skip_space (struct bl_str text, size_t pos)
{
  while (pos < text.len && is_space (text.ptr[pos]))
    pos++;
  return pos;
}

/* Returns the position after the string that begins at POS, or UNCLOSED.  */
static size_t
skip_string (struct bl_str text, size_t pos)
{
  for (pos++; pos < text.len && text.ptr[pos] != '"'; pos++)
    if (text.ptr[pos] == '\\')
      pos++;
  return pos < text.len ? pos + 1 : UNCLOSED;
}

/* Returns the position after the value that begins at POS: a string, a list or
   object with all its brackets, or the characters up to one that separates
   values.  Returns UNCLOSED if TEXT ends before.  */
static size_t
skip_value (struct bl_str text, size_t pos)
{
  size_t depth = 0;

  while (pos < text.len)
    {
      char c = text.ptr[pos];
      bool opens = c == '[' || c == '{';
      bool closes = c == ']' || c == '}';
      if (depth == 0 && (closes || c == ',' || c == ':'))
        return pos;
      pos = c == '"' ? skip_string (text, pos) : pos + 1;
      depth += opens ? 1 : 0;
      depth -= closes ? 1 : 0;
      if (depth == 0 && (closes || c == '"'))
        return pos;
    }
  return depth == 0 && pos == text.len ? pos : UNCLOSED;
}

/* Stores in OUT the value that begins at POS, empty if there is none, and
   returns the position of the character that follows.  */
static size_t
take_value (struct bl_str text, size_t pos, struct bl_str *out)
{
  size_t end = skip_value (text, pos);

  *out = (struct bl_str){ .len = 0 };
  if (end == UNCLOSED)
    return text.len;
  *out = (struct bl_str){ text.ptr + pos, end - pos };
  while (out->len > 0 && is_space (out->ptr[out->len - 1]))
    out->len--;
  return skip_space (text, end);
}

static bool
is_at (struct bl_str text, size_t pos, char c)
{
  return pos < text.len && text.ptr[pos] == c;
}

bool
bl_json_is_object (struct bl_str text)
{
  struct bl_str value;
  size_t start = skip_space (text, 0);

  return is_at (text, start, '{')
         && take_value (text, start, &value) == text.len
         && is_at (value, value.len - 1, '}');
}

bool
bl_json_member (struct bl_str text, const char *name, struct bl_str *out)
{
  size_t len = strlen (name);
  size_t pos = skip_space (text, 0);

  if (!is_at (text, pos, '{'))
    return false;
  do
    {
      struct bl_str key;
      pos = skip_space (text, pos + 1);
      if (!is_at (text, pos, '"'))
        return false;
      pos = take_value (text, pos, &key);
      if (!is_at (text, pos, ':'))
        return false;
      pos = take_value (text, skip_space (text, pos + 1), out);
      if (key.len == len + 2 && memcmp (key.ptr + 1, name, len) == 0)
        return out->len > 0;
    }
  while (is_at (text, pos, ','));
  return false;
}

int
bl_json_element (struct bl_str text, size_t *pos, struct bl_str *out)
{
  bool first = *pos == 0;
  size_t start = first ? skip_space (text, 0) : *pos;

  if (!first && is_at (text, start, ']'))
    return 0;
  if (!is_at (text, start, first ? '[' : ','))
    return BL_EFORMAT;
  start = skip_space (text, start + 1);
  *pos = take_value (text, start, out);
  if (out->len > 0)
    return 1;
  return first && is_at (text, start, ']') ? 0 : BL_EFORMAT;
}
