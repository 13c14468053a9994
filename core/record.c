/* record.c -- membership records as JSON, in the format of the platform's store

   A record with a member that is missing or out of range is rejected: another
   writer may have left it.  */

#include "core/store.h"
#include "core/json.h"

#include <jansson.h>
#include <string.h>

#define INCARNATION_MAX (INT64_MAX / 2) /* later starts are above it */

char *
bl_record_format (const struct bl_record *r)
{
  json_t *json = json_pack (
      "{s:i, s:i, s:s, s:s, s:s, s:I, s:i, s:i, s:i, s:i, s:I, s:I, s:I, s:I}",
      "kind", (int)r->kind, "state", (int)r->state, "id", r->id.s, "dc",
      r->dc.s, "service", r->service.s, "ip", (json_int_t)r->ip, "data_port",
      (int)r->data_port, "control_port", (int)r->control_port, "bulk_port",
      (int)r->bulk_port, "admin_port", (int)r->admin_port, "incarnation",
      (json_int_t)r->incarnation, "seq", (json_int_t)r->seq, "slots",
      (json_int_t)r->slots, "backend_start", (json_int_t)r->backend_start);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static uint64_t
read_number (const json_t *json,
             const char *field,
             uint64_t min,
             uint64_t max,
             bool *valid)
{
  const json_t *value = json_object_get (json, field);
  json_int_t n = json_integer_value (value);

  if (!json_is_integer (value) || n < 0 || (uint64_t)n < min
      || (uint64_t)n > max)
    {
      *valid = false;
      return 0;
    }
  return (uint64_t)n;
}

static void
read_name (const json_t *json,
           const char *field,
           struct bl_name *out,
           bool *valid)
{
  const char *text = json_string_value (json_object_get (json, field));

  if (text == NULL || bl_name_set (out, bl_str_of (text)) != BL_OK)
    *valid = false;
}

int
bl_record_parse (struct bl_record *record, const char *text)
{
  json_t *json = bl_json_parse (bl_str_of (text), NULL);
  bool valid = json_is_object (json);
  bool has_service = true;

  memset (record, 0, sizeof *record);
  record->kind = (enum bl_instance_kind)read_number (json, "kind", 0,
                                                     BL_KIND_BACKEND, &valid);
  record->state = (enum bl_instance_state)read_number (json, "state", 0,
                                                       BL_STATE_DEAD, &valid);
  read_name (json, "id", &record->id, &valid);
  read_name (json, "dc", &record->dc, &valid);
  read_name (json, "service", &record->service, &has_service);
  record->ip = (uint32_t)read_number (json, "ip", 1, UINT32_MAX, &valid);
  record->data_port
      = (uint16_t)read_number (json, "data_port", 1, UINT16_MAX, &valid);
  record->control_port
      = (uint16_t)read_number (json, "control_port", 1, UINT16_MAX, &valid);
  record->bulk_port
      = (uint16_t)read_number (json, "bulk_port", 0, UINT16_MAX, &valid);
  record->admin_port
      = (uint16_t)read_number (json, "admin_port", 0, UINT16_MAX, &valid);
  record->incarnation
      = read_number (json, "incarnation", 1, INCARNATION_MAX, &valid);
  record->seq = (uint32_t)read_number (json, "seq", 0, UINT32_MAX, &valid);
  record->slots = (uint32_t)read_number (json, "slots", 0, UINT32_MAX, &valid);
  /* Records of earlier versions have none.  */
  if (json_object_get (json, "backend_start") != NULL)
    record->backend_start
        = read_number (json, "backend_start", 0, INT64_MAX, &valid);
  json_decref (json);
  if (record->kind == BL_KIND_BACKEND && !has_service)
    valid = false;
  return valid ? BL_OK : BL_EFORMAT;
}
