/* root.c -- the root object of the configuration, and its parts

   Services are stored in immutable parts, each under a key derived from a hash
   of its content.  The root lists the keys of the current parts, with the
   version of the latest change in each, so a reader that holds version V
   fetches only the parts changed after V.

   A change is accepted by a conditional write of the root, which succeeds only
   if the stored root still has the version that the change is based on.  The
   new parts are written first; if the write of the root fails, no root refers
   to them and they have no effect.  */

#include "core/root.h"
#include "core/json.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define PART_HASH_SEED 3 /* part of the stored format */

unsigned
bl_root_part_of (const struct bl_name *service)
{
  return (unsigned)(bl_name_hash (service, PART_HASH_SEED) % BL_ROOT_PARTS);
}

void
bl_part_key (char *key, struct bl_str content)
{
  XXH128_hash_t h = XXH3_128bits (content.ptr, content.len);
  snprintf (key, BL_PART_KEY_MAX, "config/part-%016" PRIx64 "%016" PRIx64,
            h.high64, h.low64);
}

void
bl_root_add_change (struct bl_root *root, const struct bl_change *change)
{
  if (root->recent_count == BL_RECENT_CHANGES_MAX)
    {
      memmove (&root->recent[0], &root->recent[1],
               (BL_RECENT_CHANGES_MAX - 1) * sizeof root->recent[0]);
      root->recent_count--;
    }
  root->recent[root->recent_count++] = *change;
}

const struct bl_change *
bl_root_find_change (const struct bl_root *root, const struct bl_name *id)
{
  for (size_t i = 0; i < root->recent_count; i++)
    if (bl_name_equal (&root->recent[i].id, id))
      return &root->recent[i];
  return NULL;
}

/* -- root -- */

static bool
read_u64 (const json_t *json, const char *member, uint64_t *value)
{
  const json_t *v = json_object_get (json, member);

  if (!json_is_integer (v) || json_integer_value (v) < 0)
    return false;
  *value = (uint64_t)json_integer_value (v);
  return true;
}

static bool
read_name (const json_t *json, const char *member, struct bl_name *name)
{
  const json_t *v = json_object_get (json, member);
  struct bl_str text = { json_string_value (v), json_string_length (v) };

  return json_is_string (v) && bl_name_set (name, text) == BL_OK;
}

static void
read_part (struct bl_part *part,
           const json_t *json,
           size_t i,
           struct bl_findings *findings)
{
  const json_t *key = json_object_get (json, "key");
  char place[BL_FINDING_PLACE_MAX];

  if (json_is_null (json))
    return;
  snprintf (place, sizeof place, "root.parts[%zu]", i);
  if (!json_is_string (key) || json_string_length (key) >= BL_PART_KEY_MAX
      || !read_u64 (json, "changed", &part->changed))
    {
      bl_findings_add (findings, place, "must have members key and changed");
      return;
    }
  memcpy (part->key, json_string_value (key), json_string_length (key) + 1);
}

static void
read_change (struct bl_change *change,
             const json_t *json,
             size_t i,
             struct bl_findings *findings)
{
  const char *what = json_string_value (json_object_get (json, "what"));
  char place[BL_FINDING_PLACE_MAX];

  snprintf (place, sizeof place, "root.recent[%zu]", i);
  if (!read_u64 (json, "version", &change->version)
      || !read_name (json, "id", &change->id)
      || !read_name (json, "by", &change->by))
    bl_findings_add (findings, place, "must have members version, id and by");
  snprintf (change->what, sizeof change->what, "%s", what ? what : "");
}

static void
read_root (struct bl_root *root,
           const json_t *json,
           struct bl_findings *findings)
{
  const json_t *parts = json_object_get (json, "parts");
  const json_t *recent = json_object_get (json, "recent");
  uint64_t next_id = 0;

  if (!read_u64 (json, "version", &root->version))
    bl_findings_add (findings, "root.version", "must be a whole number");
  if (!read_u64 (json, "next_id", &next_id) || next_id > UINT32_MAX)
    bl_findings_add (findings, "root.next_id", "must be a whole number");
  root->next_id = (uint32_t)next_id;
  if (json_array_size (parts) != BL_ROOT_PARTS)
    bl_findings_add (findings, "root.parts", "must be a list of %d",
                     BL_ROOT_PARTS);
  if (json_array_size (recent) > BL_RECENT_CHANGES_MAX)
    bl_findings_add (findings, "root.recent", "must be a list of at most %d",
                     BL_RECENT_CHANGES_MAX);
  if (findings->count > 0)
    return;
  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    read_part (&root->parts[i], json_array_get (parts, i), i, findings);
  root->recent_count = json_array_size (recent);
  for (size_t i = 0; i < root->recent_count; i++)
    read_change (&root->recent[i], json_array_get (recent, i), i, findings);
}

int
bl_root_parse (struct bl_root *root,
               struct bl_str text,
               struct bl_findings *findings)
{
  json_error_t error;
  json_t *json = bl_json_parse (text, &error);

  memset (root, 0, sizeof *root);
  if (!json_is_object (json))
    bl_findings_add (findings, "root", "is not a JSON object: line %d: %s",
                     error.line, error.text);
  else
    read_root (root, json, findings);
  json_decref (json);
  return findings->count > 0 ? BL_EFORMAT : BL_OK;
}

static json_t *
part_to_json (const struct bl_part *part)
{
  if (part->key[0] == '\0')
    return json_null ();
  return json_pack ("{s:s, s:I}", "key", part->key, "changed",
                    (json_int_t)part->changed);
}

static json_t *
change_to_json (const struct bl_change *c)
{
  return json_pack ("{s:I, s:s, s:s, s:s}", "version", (json_int_t)c->version,
                    "id", c->id.s, "by", c->by.s, "what", c->what);
}

char *
bl_root_format (const struct bl_root *root)
{
  json_t *parts = json_array ();
  json_t *recent = json_array ();
  json_t *json;
  char *text;

  for (size_t i = 0; i < BL_ROOT_PARTS; i++)
    json_array_append_new (parts, part_to_json (&root->parts[i]));
  for (size_t i = 0; i < root->recent_count; i++)
    json_array_append_new (recent, change_to_json (&root->recent[i]));
  json = json_pack (
      "{s:I, s:I, s:o, s:o}", "version", (json_int_t)root->version, "next_id",
      (json_int_t)root->next_id, "parts", parts, "recent", recent);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

/* -- parts -- */

void
bl_services_free (struct bl_service **services, size_t count)
{
  for (size_t i = 0; services != NULL && i < count; i++)
    bl_service_free (services[i]);
  free (services);
}

static int
read_part_services (struct bl_service **list,
                    const json_t *json,
                    struct bl_findings *findings)
{
  char place[BL_FINDING_PLACE_MAX];
  int err = BL_OK;

  for (size_t i = 0; i < json_array_size (json); i++)
    {
      int service_err;
      snprintf (place, sizeof place, "part[%zu]", i);
      service_err = bl_service_from_json (&list[i], json_array_get (json, i),
                                          place, findings);
      err = service_err != BL_OK ? service_err : err;
    }
  return err;
}

int
bl_part_parse (struct bl_service ***out,
               size_t *count,
               struct bl_str text,
               struct bl_findings *findings)
{
  json_t *json = bl_json_parse (text, NULL);
  size_t n = json_array_size (json);
  struct bl_service **list;
  int err;

  *out = NULL;
  *count = 0;
  if (!json_is_array (json))
    {
      bl_findings_add (findings, "part", "is not a JSON list");
      json_decref (json);
      return BL_EFORMAT;
    }
  list = calloc (n + 1, sizeof *list);
  err = list == NULL ? BL_ENOMEM : read_part_services (list, json, findings);
  json_decref (json);
  if (err != BL_OK)
    {
      bl_services_free (list, n);
      return err;
    }
  *out = list;
  *count = n;
  return BL_OK;
}

char *
bl_part_format (struct bl_service *const *services, size_t count)
{
  json_t *json = json_array ();
  char *text;

  for (size_t i = 0; i < count; i++)
    json_array_append_new (json, bl_service_to_json (services[i]));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}
