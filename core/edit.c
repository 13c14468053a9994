/* edit.c -- applies a change made by an operator to services

   A change is a list of edits that is applied either completely or not at all.
   An edit states the new value of a setting and does not depend on the old
   one, so that a change can be applied again to a configuration that other
   changes have modified in the meantime.  */

#include "core/edit.h"
#include "core/json.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EDIT_SUMMARY_MAX 160

/* -- lists of services -- */

int
bl_service_list_add (struct bl_service_list *list, struct bl_service *service)
{
  if (list->count == list->cap)
    {
      size_t cap = list->cap > 0 ? list->cap * 2 : 16;
      struct bl_service **items = realloc (list->items, cap * sizeof *items);
      if (items == NULL)
        return BL_ENOMEM;
      list->items = items;
      list->cap = cap;
    }
  list->items[list->count++] = service;
  return BL_OK;
}

struct bl_service *
bl_service_list_find (const struct bl_service_list *list,
                      const struct bl_name *name)
{
  for (size_t i = 0; i < list->count; i++)
    if (bl_name_equal (&list->items[i]->name, name))
      return list->items[i];
  return NULL;
}

void
bl_service_list_clear (struct bl_service_list *list)
{
  for (size_t i = 0; i < list->count; i++)
    bl_service_free (list->items[i]);
  free (list->items);
  *list = (struct bl_service_list){ .count = 0 };
}

/* -- applying -- */

/* Adds a finding for each other service that has the address of S.  */
static void
check_address (const struct bl_service_list *list,
               const struct bl_service *s,
               const char *place,
               struct bl_findings *findings)
{
  for (size_t i = 0; i < list->count; i++)
    {
      const struct bl_service *other = list->items[i];
      if (other == NULL || other == s || other->removed
          || other->address != s->address)
        continue;
      bl_findings_add (findings, place, "address is that of service %s",
                       other->name.s);
    }
}

static void
create_service (struct bl_service_list *list,
                struct bl_edit *edit,
                uint64_t version,
                uint32_t *next_id,
                const char *place,
                struct bl_findings *findings)
{
  struct bl_service *existing = bl_service_list_find (list, &edit->service);
  struct bl_service *s = edit->create;

  if (s == NULL)
    {
      bl_findings_add (findings, place, "must describe a valid service");
      return;
    }
  if (existing != NULL && !existing->removed)
    {
      bl_findings_add (findings, place, "service %s exists already",
                       edit->service.s);
      return;
    }
  check_address (list, s, place, findings);
  s->id = (*next_id)++;
  s->changed = version;
  edit->create = NULL;
  if (existing == NULL)
    {
      if (bl_service_list_add (list, s) != BL_OK)
        bl_service_free (s);
      return;
    }
  for (size_t i = 0; i < list->count; i++)
    if (list->items[i] == existing)
      list->items[i] = s;
  bl_service_free (existing);
}

static struct bl_rule *
find_rule (struct bl_service *s, const struct bl_edit *edit)
{
  for (size_t i = 0; i < s->rule_count; i++)
    if (s->rules[i].is_dc == edit->target_is_dc
        && bl_name_equal (&s->rules[i].name, &edit->target))
      return &s->rules[i];
  return NULL;
}

static struct bl_rule *
add_rule (struct bl_service *s, const struct bl_edit *edit)
{
  struct bl_rule *rules
      = realloc (s->rules, (s->rule_count + 1) * sizeof *rules);

  if (rules == NULL)
    return NULL;
  s->rules = rules;
  rules[s->rule_count] = (struct bl_rule){
    .is_dc = edit->target_is_dc,
    .weight = BL_WEIGHT_DEFAULT,
    .name = edit->target,
  };
  return &rules[s->rule_count++];
}

/* Removes rules with default values only, so that a drain followed by an
   undrain leaves no rule behind.  */
static void
remove_default_rules (struct bl_service *s)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->rule_count; i++)
    {
      struct bl_rule r = s->rules[i];
      if (r.drain || r.rank != 0 || r.weight != BL_WEIGHT_DEFAULT)
        s->rules[kept++] = r;
    }
  s->rule_count = kept;
}

static void
set_rule (struct bl_service *s,
          const struct bl_edit *edit,
          const char *place,
          struct bl_findings *findings)
{
  struct bl_rule *rule = find_rule (s, edit);

  if (rule == NULL && s->rule_count == BL_RULES_MAX)
    {
      bl_findings_add (findings, place, "service has the maximum of %d rules",
                       BL_RULES_MAX);
      return;
    }
  if (rule == NULL)
    rule = add_rule (s, edit);
  if (rule == NULL)
    return;
  if (edit->set_weight)
    rule->weight = edit->weight;
  if (edit->set_rank)
    rule->rank = edit->rank;
  if (edit->set_drain)
    rule->drain = edit->drain;
  remove_default_rules (s);
}

/* Applies an edit to an existing service.  */
static void
change_service (struct bl_service_list *list,
                const struct bl_edit *edit,
                uint64_t version,
                const char *place,
                struct bl_findings *findings)
{
  struct bl_service *s = bl_service_list_find (list, &edit->service);

  if (s == NULL || s->removed)
    {
      bl_findings_add (findings, place, "service %s does not exist",
                       edit->service.s);
      return;
    }
  s->changed = version;
  if (edit->kind == BL_EDIT_RULE)
    {
      set_rule (s, edit, place, findings);
      return;
    }
  s->removed = true;
  s->listener_count = 0;
  s->rule_count = 0;
  free (s->rules);
  s->rules = NULL;
}

int
bl_edits_apply (struct bl_service_list *list,
                struct bl_edit *edits,
                size_t count,
                uint64_t version,
                uint32_t *next_id,
                struct bl_findings *findings)
{
  char place[BL_FINDING_PLACE_MAX];

  for (size_t i = 0; i < count; i++)
    {
      snprintf (place, sizeof place, "change[%zu]", i);
      if (edits[i].kind == BL_EDIT_CREATE)
        create_service (list, &edits[i], version, next_id, place, findings);
      else
        change_service (list, &edits[i], version, place, findings);
    }
  return findings->count > 0 ? BL_EFORMAT : BL_OK;
}

void
bl_edits_clear (struct bl_edit *edits, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      bl_service_free (edits[i].create);
      edits[i].create = NULL;
    }
}

/* -- JSON -- */

static bool
read_name (const json_t *json, const char *member, struct bl_name *name)
{
  const json_t *v = json_object_get (json, member);
  struct bl_str text = { json_string_value (v), json_string_length (v) };

  return json_is_string (v) && bl_name_set (name, text) == BL_OK;
}

/* Reads an optional integer from 0 to MAX; *SET is true if it is present.
   Returns false if the value is invalid.  */
static bool
read_number (const json_t *json,
             const char *member,
             json_int_t max,
             bool *set,
             json_int_t *value)
{
  const json_t *v = json_object_get (json, member);

  *set = v != NULL;
  if (v == NULL)
    return true;
  *value = json_integer_value (v);
  return json_is_integer (v) && *value >= 0 && *value <= max;
}

static void
read_create_edit (struct bl_edit *edit,
                  json_t *json,
                  const char *place,
                  struct bl_findings *findings)
{
  json_t *copy = json_copy (json);

  edit->kind = BL_EDIT_CREATE;
  json_object_set_new (copy, "id", json_integer (0));
  json_object_del (copy, "changed");
  if (bl_service_from_json (&edit->create, copy, place, findings) == BL_OK)
    edit->service = edit->create->name;
  json_decref (copy);
}

static void
read_rule_edit (struct bl_edit *edit,
                const json_t *json,
                const char *place,
                struct bl_findings *findings)
{
  json_int_t weight = 0;
  json_int_t rank = 0;
  const json_t *drain = json_object_get (json, "drain");

  edit->kind = BL_EDIT_RULE;
  edit->target_is_dc = json_object_get (json, "dc") != NULL;
  if (!read_name (json, "service", &edit->service))
    bl_findings_add (findings, place,
                     "must have a member service with a valid name");
  if (!read_name (json, edit->target_is_dc ? "dc" : "backend", &edit->target))
    bl_findings_add (findings, place,
                     "must have a member dc or backend with a valid name");
  if (!read_number (json, "weight", BL_WEIGHT_MAX, &edit->set_weight, &weight))
    bl_findings_add (findings, place, "weight must be from 0 to %d",
                     BL_WEIGHT_MAX);
  if (!read_number (json, "rank", UINT8_MAX, &edit->set_rank, &rank))
    bl_findings_add (findings, place, "rank must be from 0 to 255");
  if (drain != NULL && !json_is_boolean (drain))
    bl_findings_add (findings, place, "drain must be true or false");
  edit->set_drain = drain != NULL;
  edit->drain = json_is_true (drain);
  edit->weight = (uint16_t)weight;
  edit->rank = (uint8_t)rank;
  if (!edit->set_weight && !edit->set_rank && !edit->set_drain)
    bl_findings_add (findings, place, "must set weight, rank or drain");
}

static void
read_edit (struct bl_edit *edit,
           json_t *json,
           const char *place,
           struct bl_findings *findings)
{
  json_t *create = json_object_get (json, "create");
  json_t *remove = json_object_get (json, "remove");
  json_t *rule = json_object_get (json, "rule");

  if (!json_is_object (json) || json_object_size (json) != 1)
    bl_findings_add (findings, place,
                     "must be an object with one of create, remove, rule");
  else if (create != NULL)
    read_create_edit (edit, create, place, findings);
  else if (rule != NULL)
    read_rule_edit (edit, rule, place, findings);
  else if (remove != NULL && read_name (json, "remove", &edit->service))
    edit->kind = BL_EDIT_REMOVE;
  else
    bl_findings_add (findings, place,
                     "must be create, rule, or remove with a valid name");
}

int
bl_edits_from_json (struct bl_edit *edits,
                    size_t *count,
                    struct bl_str text,
                    struct bl_findings *findings)
{
  json_error_t error;
  json_t *json = bl_json_parse (text, &error);
  char place[BL_FINDING_PLACE_MAX];
  size_t n = json_array_size (json);

  *count = 0;
  if (json == NULL)
    bl_findings_add (findings, "change", "line %d, column %d: %s", error.line,
                     error.column, error.text);
  else if (!json_is_array (json) || n == 0 || n > BL_EDITS_MAX)
    bl_findings_add (findings, "change", "must be a list of 1 to %d edits",
                     BL_EDITS_MAX);
  for (size_t i = 0; findings->count == 0 && i < n; i++)
    *count = i + 1;
  for (size_t i = 0; i < *count; i++)
    {
      snprintf (place, sizeof place, "change[%zu]", i);
      memset (&edits[i], 0, sizeof edits[i]);
      read_edit (&edits[i], json_array_get (json, i), place, findings);
    }
  json_decref (json);
  return findings->count > 0 ? BL_EFORMAT : BL_OK;
}

/* -- summary -- */

static void
summarise_edit (const struct bl_edit *e, char *buf, size_t cap)
{
  size_t n;

  if (e->kind != BL_EDIT_RULE)
    {
      snprintf (buf, cap, "%s %s",
                e->kind == BL_EDIT_CREATE ? "create" : "remove", e->service.s);
      return;
    }
  n = (size_t)snprintf (buf, cap, "%s %s %s", e->service.s,
                        e->target_is_dc ? "dc" : "backend", e->target.s);
  if (e->set_weight && n < cap)
    n += (size_t)snprintf (buf + n, cap - n, " weight %u", e->weight);
  if (e->set_rank && n < cap)
    n += (size_t)snprintf (buf + n, cap - n, " rank %u", e->rank);
  if (e->set_drain && n < cap)
    snprintf (buf + n, cap - n, " %s", e->drain ? "drain" : "undrain");
}

void
bl_edits_summary (const struct bl_edit *edits,
                  size_t count,
                  char *buf,
                  size_t cap)
{
  char summary[EDIT_SUMMARY_MAX];

  summarise_edit (&edits[0], summary, sizeof summary);
  if (count == 1)
    snprintf (buf, cap, "%s", summary);
  else
    snprintf (buf, cap, "%s, and %zu more", summary, count - 1);
}
