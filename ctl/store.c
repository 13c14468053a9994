/* store.c -- what is in force on the users' platform, from its object store

   Routes are one object, replaced whole under the condition of the revision
   that was read, so two operators cannot undo each other's change unseen.  They
   are checked here by what balancers read them with, before anything is
   written.  */

#include "core/store.h"
#include "ctl/ctl.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_STEP_MS 100 /* between two looks at all balancers */
#define INSTANCES_MAX                                                          \
  16384 /* records read; further ones are told and left out */

/* -- the store -- */

static struct platform_store *
open_store (const struct ctl *ctl)
{
  struct bl_addr addr;

  if (bl_addr_parse (&addr, bl_str_of (ctl->store)) != BL_OK)
    {
      fprintf (stderr, "--store: \"%s\" is not IP:PORT\n", ctl->store);
      return NULL;
    }
  return platform_store_new (addr);
}

static enum ctl_exit
complain (const struct ctl *ctl, enum platform_result result)
{
  fprintf (stderr, "the store at %s: %s\n", ctl->store,
           platform_result_name (result));
  return result == PLATFORM_CONFLICT ? CTL_CONFLICT : CTL_UNREACHABLE;
}

/* -- instances -- */

struct instances
{
  size_t count;
  size_t unreadable;
  struct bl_record *records; /* owned */
};

static void
take_record (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct instances *all = ctx;
  struct bl_record record;

  (void)revision;
  if (text == NULL || bl_record_parse (&record, text) != BL_OK
      || all->count == INSTANCES_MAX)
    {
      fprintf (stderr, "%.*s: cannot be read, left out\n", (int)name.len,
               name.ptr);
      all->unreadable++;
      return;
    }
  all->records[all->count++] = record;
}

static enum ctl_exit
read_instances (const struct ctl *ctl, struct instances *out)
{
  struct platform_visitor visitor = { .visit = take_record, .ctx = out };
  struct platform_store *store = open_store (ctl);
  enum platform_result result;
  uint64_t revision = 0;

  *out = (struct instances){ .records
                             = calloc (INSTANCES_MAX, sizeof *out->records) };
  if (store == NULL || out->records == NULL)
    {
      platform_store_free (store);
      return CTL_USAGE;
    }
  result = platform_store_list (store, PLATFORM_INSTANCES_KIND, &visitor,
                                &revision);
  platform_store_free (store);
  return result == PLATFORM_OK ? CTL_OK : complain (ctl, result);
}

static json_t *
status_of (const struct bl_record *r)
{
  char addr[BL_ADDR_TEXT_MAX];

  return ctl_status (
      bl_addr_format ((struct bl_addr){ r->ip, r->admin_port }, addr));
}

/* What the instance itself says goes before what lies in the store.  */
static json_t *
instance_json (const struct bl_record *r)
{
  json_t *status = status_of (r);
  const char *state = json_string_value (json_object_get (status, "state"));
  char addr[BL_ADDR_TEXT_MAX];
  json_t *json = json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I}", "id", r->id.s, "dc",
      r->dc.s, "service", r->service.s, "state",
      state != NULL ? state : bl_state_name (r->state), "address",
      bl_addr_format ((struct bl_addr){ r->ip, r->data_port }, addr), "answers",
      (int)(status != NULL), "slots", (json_int_t)r->slots, "version",
      json_integer_value (json_object_get (status, "version")), "flows",
      json_integer_value (json_object_get (status, "flows")), "busy",
      json_integer_value (json_object_get (status, "busy")));

  json_decref (status);
  return json;
}

static void
print_instance (const json_t *json, bool backends)
{
  const char *id = json_string_value (json_object_get (json, "id"));
  const char *dc = json_string_value (json_object_get (json, "dc"));
  const char *state = json_is_true (json_object_get (json, "answers"))
                          ? json_string_value (json_object_get (json, "state"))
                          : "no answer";

  if (backends)
    printf ("%-24s %-14s %-16s %-10s %6ld %6ld %6ld\n", id, dc,
            json_string_value (json_object_get (json, "service")), state,
            (long)json_integer_value (json_object_get (json, "slots")),
            (long)json_integer_value (json_object_get (json, "flows")),
            (long)json_integer_value (json_object_get (json, "busy")));
  else
    printf ("%-24s %-14s %-10s %8ld %s\n", id, dc, state,
            (long)json_integer_value (json_object_get (json, "version")),
            json_string_value (json_object_get (json, "address")));
}

static void
print_list (const json_t *list, bool backends)
{
  json_t *item;
  size_t i;

  if (backends)
    printf ("%-24s %-14s %-16s %-10s %6s %6s %6s\n", "backend", "dc", "service",
            "state", "slots", "flows", "busy");
  else
    printf ("%-24s %-14s %-10s %8s %s\n", "balancer", "dc", "state", "version",
            "address");
  json_array_foreach (list, i, item) { print_instance (item, backends); }
}

static void
print_json (const json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2));
  printf ("%s\n", text);
  free (text);
}

static enum ctl_exit
show_instances (const struct ctl *ctl, enum bl_instance_kind kind)
{
  struct instances all;
  enum ctl_exit status = read_instances (ctl, &all);
  json_t *list = json_array ();

  for (size_t i = 0; i < all.count; i++)
    if (all.records[i].kind == kind && all.records[i].state < BL_STATE_LEFT)
      json_array_append_new (list, instance_json (&all.records[i]));
  if (status == CTL_OK && ctl->json)
    print_json (list);
  else if (status == CTL_OK)
    print_list (list, kind == BL_KIND_BACKEND);
  json_decref (list);
  free (all.records);
  return status;
}

/* -- routes -- */

struct routes
{
  struct bl_route_table *table; /* owned; NULL: there are none */
  uint64_t revision;
  struct bl_findings findings;
};

static void
take_routes (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct routes *r = ctx;

  (void)name;
  r->revision = revision;
  if (text != NULL)
    platform_table_parse (&r->table, bl_str_of (text), &r->findings);
}

static enum platform_result
read_routes (struct platform_store *store, struct routes *out)
{
  struct platform_visitor visitor = { .visit = take_routes, .ctx = out };

  return platform_store_get (store, PLATFORM_CONFIG_KIND, PLATFORM_CONFIG_NAME,
                             &visitor);
}

static void
print_route (const char *before, const struct bl_route_entry *r)
{
  char addr[BL_ADDR_TEXT_MAX];

  printf ("%s%-22s priority %u ", before,
          bl_addr_format ((struct bl_addr){ r->ip, r->port }, addr),
          r->priority);
  for (size_t i = 0; i < r->split_count; i++)
    printf (" %s:%u", r->splits[i].service.s, r->splits[i].weight);
  printf ("\n");
}

static enum ctl_exit
show_routes (const struct ctl *ctl)
{
  struct routes *now = calloc (1, sizeof *now);
  struct platform_store *store = open_store (ctl);
  enum platform_result result = PLATFORM_UNKNOWN;

  if (store != NULL && now != NULL)
    result = read_routes (store, now);
  if (result == PLATFORM_OK && now->table != NULL)
    {
      printf ("version %lu, %zu routes\n", now->table->version,
              now->table->count);
      for (size_t i = 0; i < now->table->count; i++)
        print_route ("  ", &now->table->routes[i]);
      bl_route_table_free (now->table);
    }
  platform_store_free (store);
  free (now);
  if (store == NULL)
    return CTL_USAGE;
  return result == PLATFORM_OK ? CTL_OK : complain (ctl, result);
}

enum ctl_exit
ctl_store_show (const struct ctl *ctl, const char *what)
{
  if (strcmp (what, "routes") == 0)
    return show_routes (ctl);
  if (strcmp (what, "backends") == 0)
    return show_instances (ctl, BL_KIND_BACKEND);
  if (strcmp (what, "balancers") == 0)
    return show_instances (ctl, BL_KIND_BALANCER);
  fprintf (stderr,
           "show: \"%s\" is not one of routes, backends, balancers, with "
           "--store\n",
           what);
  return CTL_USAGE;
}

/* -- changing routes -- */

static bool
is_same (const struct bl_route_entry *a, const struct bl_route_entry *b)
{
  if (a->split_count != b->split_count || a->priority != b->priority
      || a->target_latency_ms != b->target_latency_ms
      || a->deadline_ms != b->deadline_ms || a->repeatable != b->repeatable)
    return false;
  for (size_t i = 0; i < a->split_count; i++)
    if (a->splits[i].service_hash != b->splits[i].service_hash
        || a->splits[i].weight != b->splits[i].weight)
      return false;
  return true;
}

static void
print_difference (const struct bl_route_table *before,
                  const struct bl_route_table *after)
{
  for (size_t i = 0; before != NULL && i < before->count; i++)
    {
      const struct bl_route_entry *r = &before->routes[i];
      if (bl_route_table_find (after, r->ip, r->port) == NULL)
        print_route ("- ", r);
    }
  for (size_t i = 0; i < after->count; i++)
    {
      const struct bl_route_entry *r = &after->routes[i];
      const struct bl_route_entry *old
          = bl_route_table_find (before, r->ip, r->port);
      if (old == NULL)
        print_route ("+ ", r);
      else if (!is_same (old, r))
        print_route ("~ ", r);
    }
}

static size_t
count_behind (const struct instances *all, uint64_t version)
{
  size_t behind = 0;

  for (size_t i = 0; i < all->count; i++)
    {
      const struct bl_record *r = &all->records[i];
      json_t *status;
      if (r->kind != BL_KIND_BALANCER || r->state >= BL_STATE_LEFT)
        continue;
      status = status_of (r);
      behind
          += (uint64_t)json_integer_value (json_object_get (status, "version"))
             < version;
      json_decref (status);
    }
  return behind;
}

static enum ctl_exit
wait_in_force (const struct ctl *ctl, uint64_t version)
{
  uint64_t until = io_now_ms () + (uint64_t)ctl->timeout_s * 1000;
  struct instances all;
  size_t behind = SIZE_MAX;

  if (read_instances (ctl, &all) == CTL_OK)
    while ((behind = count_behind (&all, version)) > 0 && io_now_ms () < until)
      usleep (WAIT_STEP_MS * 1000);
  free (all.records);
  if (behind == 0)
    {
      printf ("in force at every balancer\n");
      return CTL_OK;
    }
  if (behind != SIZE_MAX)
    fprintf (stderr, "not in force at %zu balancers\n", behind);
  return CTL_NOT_IN_FORCE;
}

/* Writes TEXT in place of what NOW was read from.  */
static enum ctl_exit
replace (const struct ctl *ctl,
         struct platform_store *store,
         struct routes *now,
         const struct bl_route_table *wanted,
         struct bl_str text)
{
  char *copy = strndup (text.ptr, text.len);
  enum platform_result result = PLATFORM_REFUSED;

  if (copy != NULL)
    result = platform_store_put (store, PLATFORM_CONFIG_KIND,
                                 PLATFORM_CONFIG_NAME, copy, &now->revision);
  free (copy);
  if (result == PLATFORM_UNKNOWN)
    fprintf (stderr, "whether it was written is not known: "
                     "boragelatchctl show routes tells\n");
  if (result != PLATFORM_OK)
    return complain (ctl, result);
  printf ("accepted as version %lu\n", wanted->version);
  return ctl->wait ? wait_in_force (ctl, wanted->version) : CTL_OK;
}

static enum ctl_exit
change_routes (const struct ctl *ctl,
               struct platform_store *store,
               struct routes *now,
               const struct bl_route_table *wanted,
               struct bl_str text)
{
  enum platform_result result = read_routes (store, now);

  if (result != PLATFORM_OK && result != PLATFORM_NOT_FOUND)
    return complain (ctl, result);
  if (now->table != NULL && wanted->version <= now->table->version)
    {
      fprintf (stderr, "version: must be above %lu, which is in force\n",
               now->table->version);
      return CTL_REFUSED;
    }
  print_difference (now->table, wanted);
  if (ctl->dry_run)
    {
      printf ("dry run: nothing was changed\n");
      return CTL_OK;
    }
  return replace (ctl, store, now, wanted, text);
}

enum ctl_exit
ctl_store_replace_routes (const struct ctl *ctl, struct bl_str text)
{
  struct routes *now = calloc (1, sizeof *now);
  struct bl_route_table *wanted = NULL;
  struct platform_store *store = open_store (ctl);
  enum ctl_exit status = CTL_REFUSED;

  if (store == NULL || now == NULL)
    {
      free (now);
      platform_store_free (store);
      return CTL_USAGE;
    }
  if (platform_table_parse (&wanted, text, &now->findings) != BL_OK
      || now->findings.count > 0)
    {
      io_print_findings (&now->findings);
      fprintf (stderr, "refused: nothing was changed\n");
    }
  else
    status = change_routes (ctl, store, now, wanted, text);
  bl_route_table_free (wanted);
  bl_route_table_free (now->table);
  platform_store_free (store);
  free (now);
  return status;
}
