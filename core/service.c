/* service.c -- reads and writes services as JSON

   All members are checked, and each error is reported with the place where it
   was found, so that an operator sees all errors of a change at once.  */

#include "boragelatch.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_S_DEFAULT  60
#define WAIT_MS_DEFAULT 1000
#define WAIT_MS_MAX     60000
#define IDLE_S_MAX      86400

/* The place in the input of the object that is read, and the list that its
   errors are added to.  */
struct object_context
{
  const char *place;
  struct bl_findings *findings;
};

static void
add_finding (const struct object_context *ctx,
             const char *member,
             const char *text)
{
  char place[BL_FINDING_PLACE_MAX];
  snprintf (place, sizeof place, "%s.%s", ctx->place, member);
  bl_findings_add (ctx->findings, place, "%s", text);
}

/* Reads an integer from 0 to MAX.  Returns DEFAULT_VALUE if the member is
   missing; a member with a negative DEFAULT_VALUE is mandatory.  */
static json_int_t
read_int (const struct object_context *ctx,
          const json_t *json,
          const char *member,
          json_int_t default_value,
          json_int_t max)
{
  const json_t *v = json_object_get (json, member);
  char text[BL_FINDING_TEXT_MAX];

  if (v == NULL && default_value >= 0)
    return default_value;
  if (json_is_integer (v) && json_integer_value (v) >= 0
      && json_integer_value (v) <= max)
    return json_integer_value (v);
  snprintf (text, sizeof text,
            "must be a whole number from 0 to %" JSON_INTEGER_FORMAT, max);
  add_finding (ctx, member, text);
  return 0;
}

static bool
read_bool (const struct object_context *ctx,
           const json_t *json,
           const char *member)
{
  const json_t *v = json_object_get (json, member);

  if (v != NULL && !json_is_boolean (v))
    add_finding (ctx, member, "must be true or false");
  return json_is_true (v);
}

static void
read_name (const struct object_context *ctx,
           const json_t *json,
           const char *member,
           struct bl_name *name)
{
  const json_t *v = json_object_get (json, member);
  struct bl_str text = { json_string_value (v), json_string_length (v) };

  if (!json_is_string (v) || bl_name_set (name, text) != BL_OK)
    add_finding (ctx, member,
                 "must be a name of 1 to 47 letters, digits, '-', '_' or '.'");
}

static void
read_address (const struct object_context *ctx,
              const json_t *json,
              uint32_t *address)
{
  const json_t *v = json_object_get (json, "address");
  struct bl_str text = { json_string_value (v), json_string_length (v) };

  if (!json_is_string (v) || bl_ip_parse (address, text) != BL_OK
      || *address == 0)
    add_finding (ctx, "address", "must be an IPv4 address");
}

/* Reports members that are not in the list MEMBERS; otherwise the value of a
   misspelt member would be ignored silently.  */
static void
check_members (const struct object_context *ctx,
               json_t *json,
               const char *const *members)
{
  const char *key;
  json_t *v;

  json_object_foreach (json, key, v)
  {
    size_t i = 0;
    while (members[i] != NULL && strcmp (members[i], key) != 0)
      i++;
    if (members[i] == NULL)
      add_finding (ctx, key, "is not a known member");
  }
}

static void
read_refusal (const struct object_context *ctx,
              const json_t *json,
              struct bl_listener *out)
{
  const json_t *v = json_object_get (json, "refusal");
  size_t len = json_string_length (v);

  if (v == NULL)
    return;
  if (!json_is_string (v) || len > BL_REFUSAL_MAX)
    {
      add_finding (ctx, "refusal", "must be a string of at most 200 bytes");
      return;
    }
  memcpy (out->refusal, json_string_value (v), len);
  out->refusal_len = (uint8_t)len;
}

static void
read_listener (struct bl_listener *out,
               json_t *json,
               const char *place,
               struct bl_findings *findings)
{
  static const char *const members[]
      = { "port", "class", "priority", "reserved", "wait_ms", "refusal", NULL };
  struct object_context ctx = { place, findings };

  if (!json_is_object (json))
    {
      bl_findings_add (findings, place, "must be an object");
      return;
    }
  check_members (&ctx, json, members);
  out->port = (uint16_t)read_int (&ctx, json, "port", -1, UINT16_MAX);
  out->priority
      = (uint8_t)read_int (&ctx, json, "priority", 0, BL_PRIORITY_MAX);
  out->reserved = (uint8_t)read_int (&ctx, json, "reserved", 0, UINT8_MAX);
  out->wait_ms = (uint32_t)read_int (&ctx, json, "wait_ms", WAIT_MS_DEFAULT,
                                     WAIT_MS_MAX);
  read_name (&ctx, json, "class", &out->class_name);
  read_refusal (&ctx, json, out);
}

/* Reports ports that are listed more than once.  */
static void
check_ports (const struct bl_service *s,
             const char *place,
             struct bl_findings *findings)
{
  for (size_t i = 0; i < s->listener_count; i++)
    for (size_t j = 0; j < i; j++)
      if (s->listeners[i].port == s->listeners[j].port)
        bl_findings_add (findings, place, "port %u is listed twice",
                         s->listeners[i].port);
}

static void
read_listeners (struct bl_service *s,
                const json_t *json,
                const char *place,
                struct bl_findings *findings)
{
  const json_t *list = json_object_get (json, "listeners");
  char item_place[BL_FINDING_PLACE_MAX];
  size_t n = json_array_size (list);

  if (!json_is_array (list) || n == 0 || n > BL_LISTENERS_MAX)
    {
      snprintf (item_place, sizeof item_place, "%s.listeners", place);
      bl_findings_add (findings, item_place,
                       "must be a list of 1 to %d listeners", BL_LISTENERS_MAX);
      return;
    }
  s->listener_count = n;
  for (size_t i = 0; i < n; i++)
    {
      snprintf (item_place, sizeof item_place, "%s.listeners[%zu]", place, i);
      read_listener (&s->listeners[i], json_array_get (list, i), item_place,
                     findings);
    }
  check_ports (s, place, findings);
}

static void
read_rule (struct bl_rule *out,
           json_t *json,
           const char *place,
           struct bl_findings *findings)
{
  static const char *const members[]
      = { "dc", "backend", "weight", "rank", "drain", NULL };
  struct object_context ctx = { place, findings };

  if (!json_is_object (json))
    {
      bl_findings_add (findings, place, "must be an object");
      return;
    }
  check_members (&ctx, json, members);
  out->is_dc = json_object_get (json, "dc") != NULL;
  read_name (&ctx, json, out->is_dc ? "dc" : "backend", &out->name);
  out->weight = (uint16_t)read_int (&ctx, json, "weight", BL_WEIGHT_DEFAULT,
                                    BL_WEIGHT_MAX);
  out->rank = (uint8_t)read_int (&ctx, json, "rank", 0, UINT8_MAX);
  out->drain = read_bool (&ctx, json, "drain");
}

static int
read_rules (struct bl_service *s,
            const json_t *json,
            const char *place,
            struct bl_findings *findings)
{
  const json_t *list = json_object_get (json, "rules");
  char item_place[BL_FINDING_PLACE_MAX];
  size_t n = json_array_size (list);

  if (list == NULL || (json_is_array (list) && n == 0))
    return BL_OK;
  if (!json_is_array (list) || n > BL_RULES_MAX)
    {
      snprintf (item_place, sizeof item_place, "%s.rules", place);
      bl_findings_add (findings, item_place,
                       "must be a list of at most %d rules", BL_RULES_MAX);
      return BL_OK;
    }
  s->rules = calloc (n, sizeof *s->rules);
  if (s->rules == NULL)
    return BL_ENOMEM;
  s->rule_count = n;
  for (size_t i = 0; i < n; i++)
    {
      snprintf (item_place, sizeof item_place, "%s.rules[%zu]", place, i);
      read_rule (&s->rules[i], json_array_get (list, i), item_place, findings);
    }
  return BL_OK;
}

static void
read_service (struct bl_service *s,
              json_t *json,
              const char *place,
              struct bl_findings *findings)
{
  static const char *const members[]
      = { "id",    "name",    "address", "idle_s", "listeners",
          "rules", "changed", "removed", NULL };
  struct object_context ctx = { place, findings };

  check_members (&ctx, json, members);
  s->id = (uint32_t)read_int (&ctx, json, "id", -1, UINT32_MAX);
  s->changed = (uint64_t)read_int (&ctx, json, "changed", 0, INT64_MAX);
  s->idle_s
      = (uint32_t)read_int (&ctx, json, "idle_s", IDLE_S_DEFAULT, IDLE_S_MAX);
  s->removed = read_bool (&ctx, json, "removed");
  read_name (&ctx, json, "name", &s->name);
  if (s->removed)
    return;
  read_address (&ctx, json, &s->address);
  read_listeners (s, json, place, findings);
}

int
bl_service_from_json (struct bl_service **out,
                      const json_t *json,
                      const char *place,
                      struct bl_findings *findings)
{
  size_t before = findings->count;
  struct bl_service *s;
  int err;

  *out = NULL;
  if (!json_is_object (json))
    {
      bl_findings_add (findings, place, "must be an object");
      return BL_EFORMAT;
    }
  s = calloc (1, sizeof *s);
  if (s == NULL)
    return BL_ENOMEM;
  /* Iteration needs a non-const object; the object is not modified.  */
  read_service (s, (json_t *)json, place, findings);
  err = read_rules (s, json, place, findings);
  if (err == BL_OK && findings->count != before)
    err = BL_EFORMAT;
  if (err != BL_OK)
    {
      bl_service_free (s);
      return err;
    }
  *out = s;
  return BL_OK;
}

static json_t *
name_to_json (const struct bl_name *name)
{
  return json_stringn (name->s, name->len);
}

static json_t *
listener_to_json (const struct bl_listener *l)
{
  json_t *json
      = json_pack ("{s:i, s:o, s:i, s:i, s:i}", "port", (int)l->port, "class",
                   name_to_json (&l->class_name), "priority", (int)l->priority,
                   "reserved", (int)l->reserved, "wait_ms", (int)l->wait_ms);
  if (l->refusal_len > 0)
    json_object_set_new (json, "refusal",
                         json_stringn (l->refusal, l->refusal_len));
  return json;
}

size_t
bl_refusal_format (const struct bl_listener *listener,
                   uint32_t retry_after_ms,
                   char *buf)
{
  size_t placeholder_len = strlen (BL_RETRY_PLACEHOLDER);
  const char *text = listener->refusal;
  size_t len = listener->refusal_len;
  const char *placeholder
      = memmem (text, len, BL_RETRY_PLACEHOLDER, placeholder_len);
  size_t n;

  if (placeholder == NULL)
    {
      memcpy (buf, text, len);
      return len;
    }
  n = (size_t)(placeholder - text);
  memcpy (buf, text, n);
  n += (size_t)sprintf (buf + n, "%u", (retry_after_ms + 999) / 1000);
  memcpy (buf + n, placeholder + placeholder_len,
          len - placeholder_len - (size_t)(placeholder - text));
  return n + len - placeholder_len - (size_t)(placeholder - text);
}

static json_t *
rule_to_json (const struct bl_rule *rule)
{
  return json_pack ("{s:o, s:i, s:i, s:b}", rule->is_dc ? "dc" : "backend",
                    name_to_json (&rule->name), "weight", (int)rule->weight,
                    "rank", (int)rule->rank, "drain", (int)rule->drain);
}

static json_t *
address_to_json (uint32_t ip)
{
  return json_sprintf ("%u.%u.%u.%u", ip >> 24, ip >> 16 & 255, ip >> 8 & 255,
                       ip & 255);
}

json_t *
bl_service_to_json (const struct bl_service *s)
{
  json_t *json = json_pack ("{s:I, s:o, s:I, s:i}", "id", (json_int_t)s->id,
                            "name", name_to_json (&s->name), "changed",
                            (json_int_t)s->changed, "idle_s", (int)s->idle_s);
  json_t *listeners;
  json_t *rules;

  if (s->removed)
    {
      json_object_set_new (json, "removed", json_true ());
      return json;
    }
  listeners = json_array ();
  rules = json_array ();
  for (size_t i = 0; i < s->listener_count; i++)
    json_array_append_new (listeners, listener_to_json (&s->listeners[i]));
  for (size_t i = 0; i < s->rule_count; i++)
    json_array_append_new (rules, rule_to_json (&s->rules[i]));
  json_object_set_new (json, "address", address_to_json (s->address));
  json_object_set_new (json, "listeners", listeners);
  json_object_set_new (json, "rules", rules);
  return json;
}

void
bl_service_free (struct bl_service *s)
{
  if (s == NULL)
    return;
  free (s->rules);
  free (s);
}
