/* record.c -- records of instances as JSON, as they lie in the platform's store

   A record that lacks a member, or holds one out of range, is refused whole. */

#include "core/store.h"

#include <jansson.h>
#include <string.h>

char *
bl_record_format (const struct bl_record *r)
{
  json_t *json = json_pack (
      "{s:i, s:i, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:I, s:I, s:I}",
      "kind", (int)r->kind, "state", (int)r->state, "id", r->id.s, "dc",
      r->dc.s, "service", r->service.s, "ip", (json_int_t)r->ip, "data_port",
      (int)r->data_port, "control_port", (int)r->control_port, "bulk_port",
      (int)r->bulk_port, "admin_port", (int)r->admin_port, "incarnation",
      (json_int_t)r->incarnation, "seq", (json_int_t)r->seq, "slots",
      (json_int_t)r->slots);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static uint64_t
number (const json_t *json, const char *field, uint64_t max, bool *good)
{
  const json_t *value = json_object_get (json, field);
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < 0 || (uint64_t)n > max)
    {
      *good = false;
      return 0;
    }
  return (uint64_t)n;
}

static void
name (const json_t *json, const char *field, struct bl_name *out, bool *good)
{
  const char *text = json_string_value (json_object_get (json, field));

  if (text == NULL || bl_name_set (out, bl_str_of (text)) != BL_OK)
    *good = false;
}

int
bl_record_parse (struct bl_record *record, const char *text)
{
  json_t *json = json_loads (text, 0, NULL);
  bool good = json_is_object (json);
  bool optional = true;

  memset (record, 0, sizeof *record);
  record->kind
      = (enum bl_instance_kind)number (json, "kind", BL_KIND_BACKEND, &good);
  record->state
      = (enum bl_instance_state)number (json, "state", BL_STATE_DEAD, &good);
  name (json, "id", &record->id, &good);
  name (json, "dc", &record->dc, &good);
  name (json, "service", &record->service, &optional);
  record->ip = (uint32_t)number (json, "ip", UINT32_MAX, &good);
  record->data_port = (uint16_t)number (json, "data_port", UINT16_MAX, &good);
  record->control_port
      = (uint16_t)number (json, "control_port", UINT16_MAX, &good);
  record->bulk_port = (uint16_t)number (json, "bulk_port", UINT16_MAX, &good);
  record->admin_port = (uint16_t)number (json, "admin_port", UINT16_MAX, &good);
  record->incarnation = number (json, "incarnation", INT64_MAX, &good);
  record->seq = (uint32_t)number (json, "seq", UINT32_MAX, &good);
  record->slots = (uint32_t)number (json, "slots", UINT32_MAX, &good);
  json_decref (json);
  if (record->kind == BL_KIND_BACKEND && !optional)
    good = false;
  return good ? BL_OK : BL_EFORMAT;
}
