/* experiment.c -- a deployment and a load pattern, read from a file

   The file is JSON with "data_centres", "services", "classes", "network" and
   "steps".  Each step names one of the kinds in the table below and a time.
   Reading a file reports all its errors at once.  Runs with the same seed
   differ in the balancing policy alone.  */

#include "emulator/experiment.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS_MAX 4000   /* of a class, in each data centre */
#define SERVERS_MAX 64     /* of a service, in each data centre */
#define MS_MAX      120000 /* longest time in a file */

/* -- steps -- */

/* The number of instances in the share X of ALL, rounded up.  */
static size_t
share_count (double x, size_t all)
{
  size_t n = (size_t)(x * (double)all + 0.999);
  return n < all ? n : all;
}

static void
step_set_load_factor (struct em *em, const struct experiment_step *step)
{
  em_set_load_factor (em, step->value);
}

static void
step_power_off (struct em *em, const struct experiment_step *step)
{
  em_power_off (em, step->for_ms);
}

/* Applies a step to a share of the balancers or servers, from the first on.  */
static void
step_apply_to_share (struct em *em, const struct experiment_step *step)
{
  size_t n = share_count (step->value, step->target_count (em));

  for (size_t i = 0; i < n; i++)
    step->apply_to_target (em, i, step->for_ms);
}

/* Makes requests run VALUE times as long at the first third of the servers.  */
static void
step_slow_servers (struct em *em, const struct experiment_step *step)
{
  size_t n = share_count (1.0 / 3, em_server_count (em));

  for (size_t i = 0; i < n; i++)
    em_slow_server (em, i, step->value);
}

static void
step_set_store_up (struct em *em, const struct experiment_step *step)
{
  em_set_store_up (em, step->value > 0);
}

static const struct
{
  const char *name; /* value of "what" */
  void (*apply) (struct em *em, const struct experiment_step *step);
  double value_max;  /* upper bound of "x"; 0: "x" is not read */
  bool has_duration; /* "for_ms" is read */
  size_t (*target_count) (const struct em *em);
  void (*apply_to_target) (struct em *em, size_t index, uint64_t for_ms);
} step_kinds[] = {
  { "press", step_set_load_factor, 20, false, NULL, NULL },
  { "power_off", step_power_off, 0, true, NULL, NULL },
  { "kill_balancers", step_apply_to_share, 1, true, em_balancer_count,
    em_kill_balancer },
  { "kill_agents", step_apply_to_share, 1, true, em_server_count,
    em_kill_agent },
  { "crash_servers", step_apply_to_share, 1, true, em_server_count,
    em_crash_server },
  { "cut_servers", step_apply_to_share, 1, true, em_server_count,
    em_disconnect_server },
  { "slow_servers", step_slow_servers, 100, false, NULL, NULL },
  { "store", step_set_store_up, 1, false, NULL, NULL },
};

/* -- reading -- */

struct reader
{
  struct bl_findings *findings;
  char place[BL_FINDING_PLACE_MAX]; /* where in the file findings are */
};

static double
read_real (struct reader *r,
           const json_t *json,
           const char *field,
           double least,
           double most)
{
  const json_t *value = json_object_get (json, field);
  double x = json_number_value (value);

  if (!json_is_number (value) || x < least || x > most)
    bl_findings_add (r->findings, r->place,
                     "\"%s\" must be a number from %g to %g", field, least,
                     most);
  return x;
}

static unsigned
read_count (struct reader *r,
            const json_t *json,
            const char *field,
            unsigned least,
            unsigned most)
{
  const json_t *value = json_object_get (json, field);
  json_int_t n = json_integer_value (value);

  if (json_is_integer (value) && n >= least && n <= most)
    return (unsigned)n;
  bl_findings_add (r->findings, r->place,
                   "\"%s\" must be a whole number from %u to %u", field, least,
                   most);
  return least;
}

/* Reads the "name" of an object into the names of the experiment, which are
   stored one after the other.  */
static const char *
read_name (struct reader *r, struct experiment *e, const json_t *json)
{
  const char *text = json_string_value (json_object_get (json, "name"));
  size_t used = 0;

  while (e->names[used] != '\0')
    used += strlen (e->names + used) + 1;
  if (text == NULL || text[0] == '\0' || strlen (text) > 31)
    {
      bl_findings_add (r->findings, r->place,
                       "\"name\" must be a text of 1 to 31 bytes");
      return "?";
    }
  return strcpy (e->names + used, text);
}

/* The list FIELD of an object, of 1 to MOST members; NULL after a finding.  */
static const json_t *
read_list (struct reader *r, const json_t *root, const char *field, size_t most)
{
  const json_t *list = json_object_get (root, field);

  if (json_is_array (list) && json_array_size (list) > 0
      && json_array_size (list) <= most)
    return list;
  bl_findings_add (r->findings, field, "must be a list of 1 to %zu", most);
  return NULL;
}

/* Sets the place of findings to member I of the list FIELD.  */
static void
set_place (struct reader *r, const char *field, size_t i)
{
  snprintf (r->place, sizeof r->place, "%s[%zu]", field, i);
}

static void
read_data_centres (struct reader *r, struct experiment *e, const json_t *root)
{
  const json_t *list = read_list (r, root, "data_centres", EM_DCS_MAX);
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    set_place (r, "data_centres", i);
    e->settings.balancers[i] = read_count (r, item, "balancers", 1, 16);
    e->settings.dc_count = (unsigned)i + 1;
  }
}

static void
read_services (struct reader *r, struct experiment *e, const json_t *root)
{
  const json_t *list = read_list (r, root, "services", EM_SERVICES_MAX);
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    struct em_service *s = &e->settings.services[i];
    const json_t *servers = json_object_get (item, "servers");
    set_place (r, "services", i);
    s->name = read_name (r, e, item);
    s->slots = read_count (r, item, "slots", 1, 1000);
    s->queue = read_count (r, item, "queue", 0, 60);
    if (json_array_size (servers) != e->settings.dc_count)
      bl_findings_add (r->findings, r->place,
                       "\"servers\" must list a number for each data centre");
    for (size_t dc = 0; dc < e->settings.dc_count; dc++)
      {
        json_int_t n = json_integer_value (json_array_get (servers, dc));
        if (n < 0 || n > SERVERS_MAX)
          bl_findings_add (r->findings, r->place,
                           "\"servers\" must hold numbers from 0 to %d",
                           SERVERS_MAX);
        else
          s->servers[dc] = (unsigned)n;
      }
    e->settings.service_count = i + 1;
  }
}

/* The index of the service that "service" names.  */
static unsigned
read_service (struct reader *r, const struct experiment *e, const json_t *json)
{
  const char *name = json_string_value (json_object_get (json, "service"));

  for (unsigned i = 0; name != NULL && i < e->settings.service_count; i++)
    if (strcmp (e->settings.services[i].name, name) == 0)
      return i;
  bl_findings_add (r->findings, r->place,
                   "\"service\" must name one of the services");
  return 0;
}

static void
read_classes (struct reader *r, struct experiment *e, const json_t *root)
{
  const json_t *list = read_list (r, root, "classes", EM_CLASSES_MAX);
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    set_place (r, "classes", i);
    e->settings.classes[i] = (struct em_class){
      .name = read_name (r, e, item),
      .service = read_service (r, e, item),
      .flow_mode = json_is_true (json_object_get (item, "fresh"))
                       ? EM_FLOW_PER_REQUEST
                       : EM_PERSISTENT_FLOW,
      .repeatable = json_is_true (json_object_get (item, "repeatable")),
      .callers = read_count (r, item, "users", 1, CALLERS_MAX),
      .pause_ms = read_real (r, item, "pause_ms", 1, MS_MAX),
      .work_ms = read_real (r, item, "work_ms", 0.1, MS_MAX),
      .response_target_ms = read_count (r, item, "aim_ms", 1, MS_MAX),
      .deadline_ms = read_count (r, item, "deadline_ms", 1, MS_MAX),
      .retries = read_count (r, item, "retries", 0, 10),
    };
    e->settings.class_count = i + 1;
  }
}

static void
read_network (struct reader *r, struct experiment *e, const json_t *root)
{
  snprintf (r->place, sizeof r->place, "network");
  root = json_object_get (root, "network");
  e->settings.near_ms = read_real (r, root, "near_ms", 0, 1000);
  e->settings.far_ms = read_real (r, root, "far_ms", 0, 1000);
  e->settings.caller_ms = read_real (r, root, "caller_ms", 0, 1000);
  e->settings.loss = read_count (r, root, "lost_of_10000", 0, 10000);
}

static void
read_step (struct reader *r, struct experiment *e, const json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "what"));
  struct experiment_step *step = &e->steps[e->step_count];

  for (size_t i = 0;
       name != NULL && i < sizeof step_kinds / sizeof step_kinds[0]; i++)
    {
      if (strcmp (step_kinds[i].name, name) != 0)
        continue;
      step->at_ms = read_count (r, item, "at_ms", 0, MS_MAX);
      step->apply = step_kinds[i].apply;
      step->target_count = step_kinds[i].target_count;
      step->apply_to_target = step_kinds[i].apply_to_target;
      if (step_kinds[i].value_max > 0)
        step->value = read_real (r, item, "x", 0, step_kinds[i].value_max);
      if (step_kinds[i].has_duration)
        step->for_ms = read_count (r, item, "for_ms", 0, MS_MAX);
      if (e->step_count > 0 && step->at_ms < step[-1].at_ms)
        bl_findings_add (r->findings, r->place,
                         "\"at_ms\" is before that of the step before");
      e->step_count++;
      return;
    }
  bl_findings_add (r->findings, r->place, "\"what\" names no kind of step");
}

static void
read_steps (struct reader *r, struct experiment *e, const json_t *root)
{
  const json_t *list = json_object_get (root, "steps");
  const json_t *item;
  size_t i;

  if (json_array_size (list) > EXPERIMENT_STEPS_MAX)
    bl_findings_add (r->findings, "steps", "must be %d at most",
                     EXPERIMENT_STEPS_MAX);
  json_array_foreach (list, i, item)
  {
    set_place (r, "steps", i);
    if (i < EXPERIMENT_STEPS_MAX)
      read_step (r, e, item);
  }
}

int
experiment_read (struct experiment *out,
                 struct bl_str text,
                 struct bl_findings *findings)
{
  struct reader r = { .findings = findings };
  json_error_t error;
  json_t *root = json_loadb (text.ptr, text.len, 0, &error);
  size_t before = findings->count;

  *out = (struct experiment){ .names = calloc (1, 1024) };
  if (root == NULL || out->names == NULL)
    {
      snprintf (r.place, sizeof r.place, "line %d", error.line);
      bl_findings_add (findings, r.place, "%s", error.text);
      json_decref (root);
      return BL_EFORMAT;
    }
  read_data_centres (&r, out, root);
  read_services (&r, out, root);
  read_classes (&r, out, root);
  read_network (&r, out, root);
  read_steps (&r, out, root);
  snprintf (r.place, sizeof r.place, "file");
  out->count_from_ms = read_count (&r, root, "warm_ms", 0, MS_MAX);
  out->end_ms = read_count (&r, root, "end_ms", 1, MS_MAX);
  json_decref (root);
  return findings->count == before ? BL_OK : BL_EFORMAT;
}

void
experiment_clear (struct experiment *experiment)
{
  free (experiment->names);
}

/* -- running -- */

static void
add_totals (struct em_totals *sum, const struct em_totals *added)
{
  for (size_t i = 0; i < EM_CLASSES_MAX; i++)
    {
      em_add_outcome (&sum->classes[i], &added->classes[i]);
      for (size_t t = 0; t < EM_LATENCY_BUCKETS; t++)
        sum->latencies[i].counts[t] += added->latencies[i].counts[t];
    }
  for (size_t i = 0; i < EM_SECONDS_MAX; i++)
    em_add_outcome (&sum->seconds[i], &added->seconds[i]);
  sum->broken += added->broken;
  sum->duplicate_runs += added->duplicate_runs;
  sum->wrong_service += added->wrong_service;
  sum->after_drain += added->after_drain;
  sum->far_packets += added->far_packets;
  sum->near_packets += added->near_packets;
  sum->shed += added->shed;
  sum->unknown_flow_packets += added->unknown_flow_packets;
  sum->wasted += added->wasted;
  sum->refused_with_free_slot += added->refused_with_free_slot;
}

/* Requests of the busiest server over the mean of all servers of the first
   service, 0 without requests.  */
static double
imbalance_of (const struct em *em)
{
  uint64_t most = 0;
  uint64_t all = 0;
  size_t count = 0;

  for (size_t i = 0; i < em_server_count (em); i++)
    {
      uint64_t runs = em_server_requests_started (em, i);
      if (em_server_service (em, i) != 0)
        continue;
      most = runs > most ? runs : most;
      all += runs;
      count++;
    }
  return all > 0 ? (double)most * (double)count / (double)all : 0;
}

/* Runs the experiment once.  Returns the emulator at the end, or NULL.  */
static struct em *
simulate (const struct experiment *e,
          const struct bl_balancing_policy *balancing_policy,
          uint64_t seed)
{
  struct em_settings settings = e->settings;
  bool counting = false;
  struct em *em;

  settings.balancing_policy = balancing_policy;
  settings.seed = seed;
  em = em_new (&settings);
  if (em == NULL)
    return NULL;
  for (size_t i = 0; i < e->step_count; i++)
    {
      if (!counting && e->steps[i].at_ms >= e->count_from_ms)
        {
          em_run (em, e->count_from_ms);
          em_reset_totals (em);
          counting = true;
        }
      em_run (em, e->steps[i].at_ms);
      e->steps[i].apply (em, &e->steps[i]);
    }
  if (!counting)
    {
      em_run (em, e->count_from_ms);
      em_reset_totals (em);
    }
  em_run (em, e->end_ms);
  return em;
}

void
experiment_run_once (const struct experiment *experiment,
                     struct experiment_result *result,
                     const struct bl_balancing_policy *balancing_policy,
                     uint64_t seed)
{
  struct em *em = simulate (experiment, balancing_policy, seed);

  if (em == NULL)
    return;
  add_totals (&result->totals, em_totals (em));
  result->imbalance = (result->imbalance * result->runs + imbalance_of (em))
                      / (result->runs + 1);
  result->runs++;
  em_free (em);
}
