/* store.c -- shows and changes what the object store of the users' platform
   holds

   All routes are one object.  A change replaces the whole object on the
   condition that its revision is still the one that was read, so an operator
   cannot overwrite the change of another operator unnoticed.  New routes are
   validated before anything is written, with the parser that the balancers
   use.

   A store that is restored from an older copy loses changes that balancers have
   in force, and they never go back to an older version.  A new version must
   therefore be above theirs, unless it repeats the version that was lost.  */

#include "core/store.h"
#include "core/json.h"
#include "ctl/ctl.h"
#include "platform/platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WAIT_POLL_MS 100 /* between two rounds of requests */
/* Balancers that are asked for the newest routes; new routes reach all
   balancers within seconds.  */
#define BALANCERS_ASKED_MAX 32
#define ROUTES_TIMEOUT_MS   2000
#define URL_MAX_BYTES       128
#define LISTS_MAX           3 /* of a store that is restored during each */
#define INSTANCES_MAX                                                          \
  16384 /* records read; further records are reported and left out */

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

/* Prints the error RESULT and returns the exit status for it.  */
static enum ctl_exit
report_result (const struct ctl *ctl, enum platform_store_result result)
{
  fprintf (stderr, "the store at %s: %s\n", ctl->store,
           platform_store_result_name (result));
  return result == PLATFORM_STORE_CONFLICT || result == PLATFORM_STORE_RESTORED
             ? CTL_CONFLICT
             : CTL_UNREACHABLE;
}

/* -- instances -- */

/* The membership records of all instances in the store.  */
struct stored_instances
{
  size_t count;
  size_t left_out_count;     /* not valid, or above INSTANCES_MAX */
  struct bl_record *records; /* owned */
};

/* Adds a record; a visitor function of the store.  */
static void
add_record (void *ctx, struct bl_str name, uint64_t revision, const char *text)
{
  struct stored_instances *all = ctx;
  struct bl_record record;

  (void)revision;
  if (text == NULL || bl_record_parse (&record, text) != BL_OK
      || all->count == INSTANCES_MAX)
    {
      fprintf (stderr,
               "%.*s: left out: not a valid record, or too many records\n",
               (int)name.len, name.ptr);
      all->left_out_count++;
      return;
    }
  all->records[all->count++] = record;
}

/* Reads the records of all instances into OUT.  The array of records must be
   freed even on failure.  */
static enum ctl_exit
read_instances (const struct ctl *ctl, struct stored_instances *out)
{
  struct platform_store_visitor visitor = { .visit = add_record, .ctx = out };
  struct platform_store *store = open_store (ctl);
  enum platform_store_result result = PLATFORM_STORE_RESTORED;
  struct platform_store_position position;

  *out = (struct stored_instances){ .records = calloc (INSTANCES_MAX,
                                                       sizeof *out->records) };
  if (store == NULL || out->records == NULL)
    {
      platform_store_free (store);
      return CTL_USAGE;
    }
  for (int i = 0; i < LISTS_MAX && result == PLATFORM_STORE_RESTORED; i++)
    {
      out->count = 0;
      out->left_out_count = 0;
      result = platform_store_list (store, PLATFORM_INSTANCES_KIND, &visitor,
                                    &position);
    }
  platform_store_free (store);
  return result == PLATFORM_STORE_OK ? CTL_OK : report_result (ctl, result);
}

/* Requests the status of an instance; returns NULL if it did not answer.  */
static json_t *
get_status (const struct bl_record *r)
{
  char addr[BL_ADDR_TEXT_MAX];

  return ctl_status (
      bl_addr_format ((struct bl_addr){ r->ip, r->admin_port }, addr));
}

/* Returns the values that are printed of an instance.  The state that the
   instance reports takes precedence over the state in its record.  */
static json_t *
instance_to_json (const struct bl_record *r)
{
  json_t *status = get_status (r);
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
print_instances (const json_t *list, bool backends)
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
  struct stored_instances all;
  enum ctl_exit status = read_instances (ctl, &all);
  json_t *list = json_array ();

  for (size_t i = 0; i < all.count; i++)
    if (all.records[i].kind == kind && all.records[i].state < BL_STATE_LEFT)
      json_array_append_new (list, instance_to_json (&all.records[i]));
  if (status == CTL_OK && ctl->json)
    print_json (list);
  else if (status == CTL_OK)
    print_instances (list, kind == BL_KIND_BACKEND);
  json_decref (list);
  free (all.records);
  return status;
}

/* -- routes -- */

/* The routes in the store.  */
struct stored_routes
{
  struct bl_route_table *table; /* owned; NULL: there are no valid routes */
  /* Of the object; revision 0: there is no object.  */
  struct platform_store_position position;
  struct bl_findings findings;
};

/* Parses the object that holds the routes; a visitor function of the store.  */
static void
parse_routes (void *ctx,
              struct bl_str name,
              uint64_t revision,
              const char *text)
{
  struct stored_routes *r = ctx;

  (void)name;
  r->position.revision = revision;
  if (text != NULL)
    platform_route_table_parse (&r->table, bl_str_of (text), &r->findings);
}

static enum platform_store_result
read_routes (struct platform_store *store, struct stored_routes *out)
{
  struct platform_store_visitor visitor = { .visit = parse_routes, .ctx = out };

  enum platform_store_result result = platform_store_get (
      store, PLATFORM_CONFIG_KIND, PLATFORM_CONFIG_NAME, &visitor);

  out->position.era = platform_store_era (store);
  return result;
}

static void
print_route (const char *prefix, const struct bl_route_entry *r)
{
  char addr[BL_ADDR_TEXT_MAX];

  printf ("%s%-22s priority %u ", prefix,
          bl_addr_format ((struct bl_addr){ r->ip, r->port }, addr),
          r->priority);
  for (size_t i = 0; i < r->split_count; i++)
    printf (" %s:%u", r->splits[i].service.s, r->splits[i].weight);
  printf ("\n");
}

static enum ctl_exit
show_routes (const struct ctl *ctl)
{
  struct stored_routes *current = calloc (1, sizeof *current);
  struct platform_store *store = open_store (ctl);
  enum platform_store_result result = PLATFORM_STORE_UNKNOWN;

  if (store != NULL && current != NULL)
    result = read_routes (store, current);
  if (result == PLATFORM_STORE_OK && current->table != NULL)
    {
      printf ("version %lu, %zu routes\n", current->table->version,
              current->table->count);
      for (size_t i = 0; i < current->table->count; i++)
        print_route ("  ", &current->table->routes[i]);
      bl_route_table_free (current->table);
    }
  platform_store_free (store);
  free (current);
  if (store == NULL)
    return CTL_USAGE;
  return result == PLATFORM_STORE_OK ? CTL_OK : report_result (ctl, result);
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
is_same_route (const struct bl_route_entry *a, const struct bl_route_entry *b)
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

/* Prints the routes that are removed (-), added (+) or changed (~).  */
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
      else if (!is_same_route (old, r))
        print_route ("~ ", r);
    }
}

/* Returns the number of balancers that have not applied VERSION of the routes
   yet; a balancer that does not answer is counted.  */
static size_t
count_balancers_behind (const struct stored_instances *all, uint64_t version)
{
  size_t behind = 0;

  for (size_t i = 0; i < all->count; i++)
    {
      const struct bl_record *r = &all->records[i];
      json_t *status;
      if (r->kind != BL_KIND_BALANCER || r->state >= BL_STATE_LEFT)
        continue;
      status = get_status (r);
      behind
          += (uint64_t)json_integer_value (json_object_get (status, "version"))
             < version;
      json_decref (status);
    }
  return behind;
}

static enum ctl_exit
wait_until_in_force (const struct ctl *ctl, uint64_t version)
{
  uint64_t end_ms = io_now_ms () + (uint64_t)ctl->timeout_s * 1000;
  struct stored_instances all;
  size_t behind = SIZE_MAX;

  if (read_instances (ctl, &all) == CTL_OK)
    while ((behind = count_balancers_behind (&all, version)) > 0
           && io_now_ms () < end_ms)
      usleep (WAIT_POLL_MS * 1000);
  free (all.records);
  if (behind == 0)
    {
      printf ("in force at every balancer\n");
      return CTL_OK;
    }
  if (behind != SIZE_MAX)
    fprintf (stderr, "not in force at %zu balancers within the time-out\n",
             behind);
  return CTL_NOT_IN_FORCE;
}

/* -- changes that a restore of the store has lost -- */

/* The newest routes that a balancer has in force.  */
struct newest_routes
{
  uint64_t version;       /* 0: no balancer answered */
  struct bl_addr address; /* admin interface of that balancer */
};

static enum ctl_exit
find_newest_routes (const struct ctl *ctl, struct newest_routes *out)
{
  struct stored_instances all;
  enum ctl_exit status = read_instances (ctl, &all);
  size_t asked = 0;

  *out = (struct newest_routes){ .version = 0 };
  for (size_t i = 0; i < all.count && asked < BALANCERS_ASKED_MAX; i++)
    {
      const struct bl_record *r = &all.records[i];
      json_t *answer;
      uint64_t version;
      if (r->kind != BL_KIND_BALANCER || r->state >= BL_STATE_LEFT)
        continue;
      answer = get_status (r);
      asked += answer != NULL ? 1 : 0;
      version
          = (uint64_t)json_integer_value (json_object_get (answer, "version"));
      if (version > out->version)
        *out = (struct newest_routes){ version, { r->ip, r->admin_port } };
      json_decref (answer);
    }
  free (all.records);
  return status;
}

/* Returns whether the routes in force at a balancer are those of TEXT.  */
static bool
has_routes (struct bl_addr balancer, struct bl_str text)
{
  struct io_object body = { .len = 0 };
  char addr[BL_ADDR_TEXT_MAX];
  char url[URL_MAX_BYTES];
  json_t *theirs = NULL;
  json_t *ours = bl_json_parse (text, NULL);
  bool same;

  snprintf (url, sizeof url, "http://%s" BL_ROUTES_PATH,
            bl_addr_format (balancer, addr));
  if (io_http_request ("GET", url, NULL, ROUTES_TIMEOUT_MS, &body) == 200)
    theirs = bl_json_parse ((struct bl_str){ body.text, body.len }, NULL);
  same = theirs != NULL && json_equal (theirs, ours);
  json_decref (theirs);
  json_decref (ours);
  io_object_clear (&body);
  return same;
}

/* Checks that balancers will accept the routes TEXT: their version is above
   that in force, or they repeat a version that the store has lost.  */
static enum ctl_exit
compare_with_balancers (const struct ctl *ctl,
                        const struct bl_route_table *new_table,
                        struct bl_str text)
{
  struct newest_routes newest;
  enum ctl_exit status = find_newest_routes (ctl, &newest);

  if (status != CTL_OK || new_table->version > newest.version)
    return status;
  if (new_table->version == newest.version && has_routes (newest.address, text))
    {
      printf ("repeats version %lu, which the store has lost\n",
              new_table->version);
      return CTL_OK;
    }
  fprintf (stderr,
           "version: must be above %lu, which balancers have in force and the "
           "store has lost\n",
           newest.version);
  return CTL_REFUSED;
}

/* Returns CTL_CONFLICT if the store was restored after VERSION was written in
   ERA, and has lost it.  */
static enum ctl_exit
check_kept (const struct ctl *ctl,
            struct platform_store *store,
            uint64_t version,
            uint64_t era)
{
  struct stored_routes *now = calloc (1, sizeof *now);
  enum platform_store_result result = PLATFORM_STORE_UNKNOWN;
  bool lost;

  if (now != NULL)
    result = read_routes (store, now);
  lost = result == PLATFORM_STORE_NOT_FOUND
         || (result == PLATFORM_STORE_OK && now->position.era != era
             && (now->table == NULL || now->table->version < version));
  if (now != NULL)
    bl_route_table_free (now->table);
  free (now);
  if (lost)
    {
      fprintf (stderr,
               "the store was restored from an older copy and has lost version "
               "%lu; write it again\n",
               version);
      return CTL_CONFLICT;
    }
  return result == PLATFORM_STORE_OK ? CTL_OK : report_result (ctl, result);
}

/* Replaces the object from which CURRENT was read by TEXT, which NEW_TABLE was
   parsed from.  */
static enum ctl_exit
write_routes (const struct ctl *ctl,
              struct platform_store *store,
              struct stored_routes *current,
              const struct bl_route_table *new_table,
              struct bl_str text)
{
  char *copy = strndup (text.ptr, text.len);
  enum platform_store_result result = PLATFORM_STORE_REFUSED;
  enum ctl_exit status;

  if (copy != NULL)
    result
        = platform_store_put (store, PLATFORM_CONFIG_KIND, PLATFORM_CONFIG_NAME,
                              copy, &current->position);
  free (copy);
  if (result == PLATFORM_STORE_RESTORED)
    fprintf (stderr,
             "the store was restored from an older copy while the routes were "
             "written; version %lu may have replaced a change that was not "
             "read; check with: show routes\n",
             new_table->version);
  if (result == PLATFORM_STORE_UNKNOWN)
    fprintf (stderr, "the write was not acknowledged and may take effect; "
                     "check with: show routes\n");
  if (result != PLATFORM_STORE_OK)
    return report_result (ctl, result);
  printf ("accepted as version %lu\n", new_table->version);
  fflush (stdout);
  if (!ctl->wait)
    return CTL_OK;
  status = wait_until_in_force (ctl, new_table->version);
  if (status != CTL_OK)
    return status;
  return check_kept (ctl, store, new_table->version, current->position.era);
}

/* Prints the difference between the routes in the store and NEW_TABLE, and
   writes TEXT unless this is a dry run.  */
static enum ctl_exit
change_routes (const struct ctl *ctl,
               struct platform_store *store,
               struct stored_routes *current,
               const struct bl_route_table *new_table,
               struct bl_str text)
{
  enum platform_store_result result = read_routes (store, current);
  enum ctl_exit status;

  if (result != PLATFORM_STORE_OK && result != PLATFORM_STORE_NOT_FOUND)
    return report_result (ctl, result);
  if (current->table != NULL && new_table->version <= current->table->version)
    {
      fprintf (stderr, "version: must be above %lu, which is in force\n",
               current->table->version);
      return CTL_REFUSED;
    }
  status = compare_with_balancers (ctl, new_table, text);
  if (status != CTL_OK)
    return status;
  print_difference (current->table, new_table);
  if (ctl->dry_run)
    {
      printf ("dry run: nothing was changed\n");
      return CTL_OK;
    }
  return write_routes (ctl, store, current, new_table, text);
}

enum ctl_exit
ctl_store_replace_routes (const struct ctl *ctl, struct bl_str text)
{
  struct stored_routes *current = calloc (1, sizeof *current);
  struct bl_route_table *new_table = NULL;
  struct platform_store *store = open_store (ctl);
  enum ctl_exit status = CTL_REFUSED;

  if (store == NULL || current == NULL)
    {
      free (current);
      platform_store_free (store);
      return CTL_USAGE;
    }
  if (platform_route_table_parse (&new_table, text, &current->findings) != BL_OK
      || current->findings.count > 0)
    {
      io_print_findings (&current->findings);
      fprintf (stderr, "refused: nothing was changed\n");
    }
  else
    status = change_routes (ctl, store, current, new_table, text);
  bl_route_table_free (new_table);
  bl_route_table_free (current->table);
  platform_store_free (store);
  free (current);
  return status;
}
