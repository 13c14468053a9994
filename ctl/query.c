/* query.c -- shows the configuration and the state of the instances, and waits
   until a version is in force

   The configuration is read from the platform.  The state is collected in two
   steps: the status of one balancer lists the addresses of all instances, and
   then each instance reports its own status.  */

#include "core/root.h"
#include "core/json.h"
#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STATUS_TIMEOUT_MS 1000 /* of the request to an instance */
#define WAIT_POLL_MS      100  /* between two rounds of requests */

json_t *
ctl_status (const char *addr)
{
  struct io_object body = { .len = 0 };
  char url[64];
  json_t *json = NULL;

  snprintf (url, sizeof url, "http://%s/v1/status", addr);
  if (io_http_request ("GET", url, NULL, STATUS_TIMEOUT_MS, &body) == 200)
    json = bl_json_parse ((struct bl_str){ body.text, body.len }, NULL);
  io_object_clear (&body);
  return json;
}

/* Returns a string member, or "-" if there is none.  */
static const char *
string_or_dash (const json_t *json, const char *member)
{
  const char *text = json_string_value (json_object_get (json, member));
  return text != NULL ? text : "-";
}

static json_int_t
get_number (const json_t *json, const char *member)
{
  return json_integer_value (json_object_get (json, member));
}

/* Returns whether a membership record is of an instance that may still answer:
   not declared dead, and has not left.  */
static bool
is_live (const json_t *record)
{
  const char *state = string_or_dash (record, "state");
  return strcmp (state, "dead") != 0 && strcmp (state, "left") != 0;
}

static json_t *
get_status_or_report (const struct ctl *ctl)
{
  json_t *status = ctl_status (ctl->admin);

  if (status == NULL)
    fprintf (stderr, "no balancer answers at %s\n", ctl->admin);
  return status;
}

static void
print_json (const json_t *json)
{
  char *text = json_dumps (json, JSON_INDENT (2));
  printf ("%s\n", text);
  free (text);
}

/* -- balancers -- */

/* Returns an array with the state and configuration version of each balancer in
   STATUS.  */
static json_t *
query_balancers (const json_t *status)
{
  json_t *out = json_array ();
  json_t *record;
  size_t i;

  json_array_foreach (json_object_get (status, "balancers"), i, record)
  {
    json_t *instance_status
        = is_live (record) ? ctl_status (string_or_dash (record, "admin"))
                           : NULL;
    json_array_append_new (
        out,
        json_pack (
            "{s:s, s:s, s:s, s:s, s:b, s:I, s:b}", "id",
            string_or_dash (record, "id"), "dc", string_or_dash (record, "dc"),
            "state", string_or_dash (record, "state"), "admin",
            string_or_dash (record, "admin"), "answers",
            (int)(instance_status != NULL), "version",
            get_number (instance_status, "version"), "relay",
            (int)json_is_true (json_object_get (instance_status, "relay"))));
    json_decref (instance_status);
  }
  return out;
}

static void
print_balancers (const json_t *list)
{
  json_t *b;
  size_t i;

  printf ("%-16s %-10s %-10s %8s %6s %s\n", "balancer", "dc", "state",
          "version", "relay", "admin");
  json_array_foreach (list, i, b)
  {
    bool answers = json_is_true (json_object_get (b, "answers"));
    printf ("%-16s %-10s %-10s %8ld %6s %s\n", string_or_dash (b, "id"),
            string_or_dash (b, "dc"),
            answers ? string_or_dash (b, "state") : "no answer",
            (long)get_number (b, "version"),
            json_is_true (json_object_get (b, "relay")) ? "yes" : "no",
            string_or_dash (b, "admin"));
  }
}

static enum ctl_exit
show_balancers (const struct ctl *ctl)
{
  json_t *status = get_status_or_report (ctl);
  json_t *list;

  if (status == NULL)
    return CTL_UNREACHABLE;
  list = query_balancers (status);
  ctl->json ? print_json (list) : print_balancers (list);
  json_decref (list);
  json_decref (status);
  return CTL_OK;
}

/* -- backend servers -- */

static void
print_backends (const json_t *list)
{
  json_t *b;
  size_t i;

  printf ("%-16s %-10s %-16s %-10s %6s %s\n", "backend", "dc", "service",
          "state", "slots", "admin");
  json_array_foreach (list, i, b)
  {
    printf ("%-16s %-10s %-16s %-10s %6ld %s\n", string_or_dash (b, "id"),
            string_or_dash (b, "dc"), string_or_dash (b, "service"),
            string_or_dash (b, "state"), (long)get_number (b, "slots"),
            string_or_dash (b, "admin"));
  }
}

static enum ctl_exit
show_backends (const struct ctl *ctl)
{
  json_t *status = get_status_or_report (ctl);
  json_t *list;

  if (status == NULL)
    return CTL_UNREACHABLE;
  list = json_object_get (status, "backends");
  ctl->json ? print_json (list) : print_backends (list);
  json_decref (status);
  return CTL_OK;
}

/* Prints the flows and running requests of each backend server.  A drain is
   complete when a backend server has none.  */
static enum ctl_exit
show_flows (const struct ctl *ctl)
{
  json_t *status = get_status_or_report (ctl);
  json_t *out = json_array ();
  json_t *record;
  size_t i;

  json_array_foreach (json_object_get (status, "backends"), i, record)
  {
    json_t *instance_status
        = is_live (record) ? ctl_status (string_or_dash (record, "admin"))
                           : NULL;
    if (instance_status != NULL)
      json_array_append_new (out, instance_status);
  }
  if (ctl->json)
    print_json (out);
  else
    printf ("%-16s %-10s %-16s %-10s %10s %8s %10s\n", "backend", "dc",
            "service", "state", "accepting", "flows", "busy");
  json_array_foreach (out, i, record)
  {
    if (!ctl->json)
      printf (
          "%-16s %-10s %-16s %-10s %10s %8ld %10ld\n",
          string_or_dash (record, "id"), string_or_dash (record, "dc"),
          string_or_dash (record, "service"), string_or_dash (record, "state"),
          json_is_true (json_object_get (record, "accepting")) ? "yes" : "no",
          (long)get_number (record, "flows"),
          (long)get_number (record, "busy"));
  }
  json_decref (out);
  json_decref (status);
  return status != NULL ? CTL_OK : CTL_UNREACHABLE;
}

/* -- configuration -- */

/* Reads the root; if there is none, ROOT is empty.  */
static enum io_kv_result
read_root (struct io_kv *kv, struct bl_root *root)
{
  struct io_object object = { .len = 0 };
  struct bl_findings findings = { .count = 0 };
  enum io_kv_result result = io_kv_get (kv, BL_ROOT_KEY, &object);

  memset (root, 0, sizeof *root);
  if (result == IO_KV_OK
      && bl_root_parse (root, (struct bl_str){ object.text, object.len },
                        &findings)
             != BL_OK)
    result = IO_KV_REFUSED;
  io_object_clear (&object);
  io_print_findings (&findings);
  return result == IO_KV_NOT_FOUND ? IO_KV_OK : result;
}

/* Appends the services of all parts of ROOT to the JSON array SERVICES. Returns
   IO_KV_NOT_FOUND if a part is missing, because a change accepted since ROOT
   was read has replaced it.  */
static enum io_kv_result
read_parts (struct io_kv *kv, const struct bl_root *root, json_t *services)
{
  struct io_object object = { .len = 0 };
  enum io_kv_result result = IO_KV_OK;

  for (size_t i = 0; i < BL_ROOT_PARTS && result == IO_KV_OK; i++)
    {
      json_t *part;
      if (root->parts[i].key[0] == '\0')
        continue;
      result = io_kv_get (kv, root->parts[i].key, &object);
      if (result != IO_KV_OK)
        break;
      part = bl_json_parse ((struct bl_str){ object.text, object.len }, NULL);
      if (json_array_extend (services, part) != 0)
        result = IO_KV_REFUSED;
      json_decref (part);
    }
  io_object_clear (&object);
  return result;
}

/* Reads the configuration.  Returns a JSON array of all services, or NULL and a
   message to standard error if a part of it cannot be read.  */
static json_t *
read_services (const struct ctl *ctl)
{
  struct io_kv *kv = io_kv_new (ctl->platform, io_wall_ms ());
  struct bl_root *root = malloc (sizeof *root);
  json_t *services = json_array ();
  enum io_kv_result result = IO_KV_NOT_FOUND;

  for (unsigned i = 1; result == IO_KV_NOT_FOUND && i <= CTL_ROOT_READS_MAX;
       i++)
    {
      if (i > 1)
        usleep (io_kv_backoff_ms (kv, i) * 1000);
      json_array_clear (services);
      result = read_root (kv, root);
      if (result == IO_KV_OK)
        result = read_parts (kv, root, services);
    }
  free (root);
  io_kv_free (kv);
  if (result == IO_KV_OK)
    return services;
  fprintf (stderr,
           result == IO_KV_UNKNOWN
               ? "the platform at %s did not answer\n"
               : "the configuration at %s is incomplete or not valid\n",
           ctl->platform);
  json_decref (services);
  return NULL;
}

static void
print_services (const json_t *services)
{
  json_t *s;
  json_t *l;
  size_t i;
  size_t k;

  printf ("%-20s %4s %-16s %8s  %s\n", "service", "id", "address", "changed",
          "listeners");
  json_array_foreach (services, i, s)
  {
    if (json_is_true (json_object_get (s, "removed")))
      continue;
    printf ("%-20s %4ld %-16s %8ld ", string_or_dash (s, "name"),
            (long)get_number (s, "id"), string_or_dash (s, "address"),
            (long)get_number (s, "changed"));
    json_array_foreach (json_object_get (s, "listeners"), k, l)
    {
      printf (" %ld:%s:%ld", (long)get_number (l, "port"),
              string_or_dash (l, "class"), (long)get_number (l, "priority"));
    }
    printf ("\n");
    json_array_foreach (json_object_get (s, "rules"), k, l)
    {
      bool dc = json_object_get (l, "dc") != NULL;
      printf ("  %s %s: weight %ld, rank %ld%s\n", dc ? "dc" : "backend",
              string_or_dash (l, dc ? "dc" : "backend"),
              (long)get_number (l, "weight"), (long)get_number (l, "rank"),
              json_is_true (json_object_get (l, "drain")) ? ", draining" : "");
    }
  }
}

static void
print_changes (const struct bl_root *root)
{
  printf ("%8s %-16s %-12s %s\n", "version", "change", "by", "what");
  for (size_t i = 0; i < root->recent_count; i++)
    printf ("%8lu %-16s %-12s %s\n", root->recent[i].version,
            root->recent[i].id.s, root->recent[i].by.s, root->recent[i].what);
}

static enum ctl_exit
show_changes (const struct ctl *ctl)
{
  struct io_kv *kv = io_kv_new (ctl->platform, io_wall_ms ());
  struct bl_root *root = malloc (sizeof *root);
  bool read = read_root (kv, root) == IO_KV_OK;

  if (!read)
    fprintf (stderr, "the platform at %s did not answer\n", ctl->platform);
  else if (ctl->json)
    {
      char *text = bl_root_format (root);
      printf ("%s\n", text);
      free (text);
    }
  else
    print_changes (root);
  free (root);
  io_kv_free (kv);
  return read ? CTL_OK : CTL_UNREACHABLE;
}

static enum ctl_exit
show_services (const struct ctl *ctl)
{
  json_t *services = read_services (ctl);

  if (services == NULL)
    return CTL_UNREACHABLE;
  if (ctl->json)
    print_json (services);
  else
    print_services (services);
  json_decref (services);
  return CTL_OK;
}

enum ctl_exit
ctl_show (const struct ctl *ctl, const char *what)
{
  if (ctl->store[0] != '\0')
    return ctl_store_show (ctl, what);
  if (strcmp (what, "services") == 0)
    return show_services (ctl);
  if (strcmp (what, "changes") == 0)
    return show_changes (ctl);
  if (strcmp (what, "balancers") == 0)
    return show_balancers (ctl);
  if (strcmp (what, "backends") == 0)
    return show_backends (ctl);
  if (strcmp (what, "flows") == 0)
    return show_flows (ctl);
  fprintf (stderr,
           "show: \"%s\" is not one of services, backends, balancers, "
           "flows, changes\n",
           what);
  return CTL_USAGE;
}

/* -- waiting -- */

/* The number of instances, and of those that have the version in force.  */
struct progress
{
  size_t balancers;
  size_t balancers_done;
  size_t agents;
  size_t agents_done;
};

/* Adds the agents that report to the monitor with STATUS.  An agent has several
   monitors and is counted at each of them.  An agent applies only the changes
   of its own service, so VERSION is in force at the agent once it has applied
   the last change of that service.  If that change is later than VERSION, the
   agent is not counted.  */
static void
count_agents (const json_t *status,
              const json_t *services,
              uint64_t version,
              struct progress *p)
{
  json_t *agent;
  json_t *service;
  size_t i;
  size_t j;

  json_array_foreach (json_object_get (status, "kept"), i, agent)
  {
    json_array_foreach (services, j, service)
    {
      json_int_t changed = get_number (service, "changed");
      if (strcmp (string_or_dash (service, "name"),
                  string_or_dash (agent, "service"))
              != 0
          || changed > (json_int_t)version)
        continue;
      p->agents++;
      if (get_number (agent, "applied") >= changed)
        p->agents_done++;
    }
  }
}

/* Requests the status of all balancers and sets P.  Returns whether VERSION is
   in force everywhere; false if no balancer answered.  */
static bool
check_progress (const struct ctl *ctl,
                const json_t *services,
                uint64_t version,
                struct progress *p)
{
  json_t *status = ctl_status (ctl->admin);
  json_t *record;
  size_t i;

  *p = (struct progress){ .balancers = 0 };
  json_array_foreach (json_object_get (status, "balancers"), i, record)
  {
    json_t *instance_status;
    if (!is_live (record))
      continue;
    instance_status = ctl_status (string_or_dash (record, "admin"));
    p->balancers++;
    if (get_number (instance_status, "version") >= (json_int_t)version)
      p->balancers_done++;
    count_agents (instance_status, services, version, p);
    json_decref (instance_status);
  }
  json_decref (status);
  return p->balancers > 0 && p->balancers_done == p->balancers
         && p->agents_done == p->agents;
}

enum ctl_exit
ctl_wait (const struct ctl *ctl, uint64_t version)
{
  json_t *services = read_services (ctl);
  uint64_t deadline_ms = io_now_ms () + (uint64_t)ctl->timeout_s * 1000;
  struct progress printed = { .balancers = SIZE_MAX };
  struct progress p;
  bool done = false;

  while (services != NULL)
    {
      done = check_progress (ctl, services, version, &p);
      if (memcmp (&p, &printed, sizeof p) != 0)
        fprintf (stderr, "in force: balancers %zu/%zu, agents %zu/%zu\n",
                 p.balancers_done, p.balancers, p.agents_done, p.agents);
      printed = p;
      if (done || io_now_ms () >= deadline_ms)
        break;
      usleep (WAIT_POLL_MS * 1000);
    }
  json_decref (services);
  if (done)
    return CTL_OK;
  fprintf (stderr,
           "version %lu was accepted, but is not in force everywhere yet\n",
           version);
  return CTL_NOT_IN_FORCE;
}
