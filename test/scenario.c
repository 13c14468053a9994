/* scenario.c -- runs scenarios, given as text, on the simulated network  */

#include "test/scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORDS_MAX 12
#define FILE_MAX  65536 /* bytes of a scenario file */

/* A line split into words.  */
struct words
{
  size_t count;
  char *items[WORDS_MAX];
  char text[256];
};

struct event
{
  const char *name;
  size_t arguments; /* minimum number of arguments */
  bool (*apply) (struct fake *f, struct words *w);
};

static unsigned long
word_number (const struct words *w, size_t i)
{
  return i < w->count ? strtoul (w->items[i], NULL, 10) : 0;
}

static bool
apply_rule (struct fake *f,
            const char *target,
            const char *id,
            const char *setting)
{
  char json[256];

  snprintf (json, sizeof json,
            "[{\"rule\":{\"service\":\"web\",\"%s\":\"%s\",%s}}]", target, id,
            setting);
  fake_apply_edits (f, json);
  return true;
}

/* -- events -- */

static bool
event_service (struct fake *f, struct words *w)
{
  fake_create_service (f, w->items[1]);
  return true;
}

static bool
event_node (struct fake *f, struct words *w)
{
  fake_add_node (f, w->items[1], w->items[2]);
  return true;
}

static bool
event_agent (struct fake *f, struct words *w)
{
  fake_add_agent (f, w->items[1], w->items[2], w->items[3]);
  return true;
}

static bool
event_run (struct fake *f, struct words *w)
{
  fake_run (f, word_number (w, 1));
  return true;
}

static bool
event_open (struct fake *f, struct words *w)
{
  fake_open (f, word_number (w, 1), (unsigned)word_number (w, 2));
  return true;
}

static bool
event_reopen (struct fake *f, struct words *w)
{
  fake_reopen (f, (unsigned)word_number (w, 1));
  return true;
}

static bool
event_cancel (struct fake *f, struct words *w)
{
  fake_reset_and_reopen (f, (unsigned)word_number (w, 1));
  return true;
}

static bool
event_loss (struct fake *f, struct words *w)
{
  f->loss = (unsigned)word_number (w, 1);
  return true;
}

static bool
event_duplication (struct fake *f, struct words *w)
{
  f->duplication = (unsigned)word_number (w, 1);
  return true;
}

static bool
event_delay (struct fake *f, struct words *w)
{
  f->delay_min_ms = (unsigned)word_number (w, 1);
  f->delay_max_ms = (unsigned)word_number (w, 2);
  return true;
}

static bool
event_kill (struct fake *f, struct words *w)
{
  fake_kill (f, w->items[1]);
  return true;
}

static bool
event_restart (struct fake *f, struct words *w)
{
  fake_restart (f, w->items[1]);
  return true;
}

static bool
event_become (struct fake *f, struct words *w)
{
  fake_restart_as (f, w->items[1], w->items[2]);
  return true;
}

static bool
event_freeze (struct fake *f, struct words *w)
{
  fake_freeze (f, w->items[1], word_number (w, 2));
  return true;
}

static bool
event_mute (struct fake *f, struct words *w)
{
  fake_mute (f, w->items[1], word_number (w, 2));
  return true;
}

static bool
event_cut (struct fake *f, struct words *w)
{
  fake_partition (f, w->items[1], w->items[2]);
  return true;
}

static bool
event_mend (struct fake *f, struct words *w)
{
  (void)w;
  fake_heal (f);
  return true;
}

static bool
event_drain (struct fake *f, struct words *w)
{
  return apply_rule (f, "backend", w->items[1], "\"drain\":true");
}

static bool
event_undrain (struct fake *f, struct words *w)
{
  return apply_rule (f, "backend", w->items[1], "\"drain\":false");
}

static bool
event_weigh (struct fake *f, struct words *w)
{
  char setting[32];
  snprintf (setting, sizeof setting, "\"weight\":%lu", word_number (w, 2));
  return apply_rule (f, "backend", w->items[1], setting);
}

static bool
event_rank (struct fake *f, struct words *w)
{
  char setting[32];
  snprintf (setting, sizeof setting, "\"rank\":%lu", word_number (w, 2));
  return apply_rule (f, "dc", w->items[1], setting);
}

static bool
event_platform (struct fake *f, struct words *w)
{
  f->platform_down = strcmp (w->items[1], "down") == 0;
  return true;
}

static bool
event_stop (struct fake *f, struct words *w)
{
  struct fake_instance *e = fake_instance (f, w->items[1]);

  if (e->kind == FAKE_NODE)
    bl_node_drain (e->node);
  else
    bl_agent_drain (e->agent);
  return true;
}

static bool
event_leave (struct fake *f, struct words *w)
{
  struct fake_instance *e = fake_instance (f, w->items[1]);

  if (e->kind == FAKE_NODE)
    bl_node_leave (e->node);
  else
    bl_agent_leave (e->agent);
  fake_kill (f, w->items[1]);
  return true;
}

static bool
event_unwell (struct fake *f, struct words *w)
{
  bl_agent_set_ready (fake_instance (f, w->items[1])->agent, false);
  return true;
}

static bool
event_well (struct fake *f, struct words *w)
{
  bl_agent_set_ready (fake_instance (f, w->items[1])->agent, true);
  return true;
}

static bool
event_mark (struct fake *f, struct words *w)
{
  (void)w;
  for (size_t i = 0; i < f->instance_count; i++)
    f->instances[i].first_packets = 0;
  return true;
}

static bool
event_finish (struct fake *f, struct words *w)
{
  fake_run_callers (f, word_number (w, 1));
  return true;
}

/* -- expectations -- */

static bool
expect_count (struct fake *f, enum fake_caller_state state, struct words *w)
{
  size_t n = fake_count_callers (f, state);

  if (n == word_number (w, 2))
    return true;
  fprintf (stderr, "the count is %zu; ", n);
  return false;
}

static bool
handshake_was_with (const struct fake *f,
                    const struct fake_caller *c,
                    const struct words *w)
{
  for (size_t i = 2; i < w->count; i++)
    if (strcmp (f->instances[c->handshake_server].id.s, w->items[i]) == 0)
      return true;
  return false;
}

static bool
expect_broken_only (struct fake *f, struct words *w)
{
  for (size_t i = 0; i < f->caller_count; i++)
    {
      const struct fake_caller *c = &f->callers[i];
      if (c->state != FAKE_BROKEN || handshake_was_with (f, c, w))
        continue;
      fprintf (stderr, "the flow of port %u was accepted by %s; ",
               c->key.src_port, f->instances[c->handshake_server].id.s);
      return false;
    }
  return true;
}

static bool
expect_refused_unserved (struct fake *f)
{
  for (size_t i = 0; i < f->caller_count; i++)
    if (f->callers[i].state == FAKE_REFUSED && f->callers[i].has_server)
      return false;
  return true;
}

static bool
event_expect (struct fake *f, struct words *w)
{
  const char *kind = w->items[1];

  if (strcmp (kind, "open") == 0)
    return expect_count (f, FAKE_OPEN, w);
  if (strcmp (kind, "done") == 0)
    return expect_count (f, FAKE_DONE, w);
  if (strcmp (kind, "refused") == 0)
    return expect_count (f, FAKE_REFUSED, w);
  if (strcmp (kind, "broken") == 0)
    return expect_count (f, FAKE_BROKEN, w);
  if (strcmp (kind, "broken-only") == 0)
    return expect_broken_only (f, w);
  if (strcmp (kind, "refused-unserved") == 0)
    return expect_refused_unserved (f);
  if (strcmp (kind, "doubled") == 0)
    return fake_flows_at_two_servers (f) == word_number (w, 2);
  if (strcmp (kind, "no-new") == 0)
    return fake_instance (f, w->items[2])->first_packets == 0;
  if (strcmp (kind, "flows") == 0)
    return fake_flows_at (f, w->items[2]) == word_number (w, 3);
  if (strcmp (kind, "at-most") == 0)
    return fake_flows_at (f, w->items[2]) <= word_number (w, 3);
  if (strcmp (kind, "at-least") == 0)
    return fake_flows_at (f, w->items[2]) >= word_number (w, 3);
  if (strcmp (kind, "members") == 0)
    return fake_all_list_balancers (f, word_number (w, 2));
  if (strcmp (kind, "ready") == 0)
    return fake_all_list_backends (f, word_number (w, 2));
  if (strcmp (kind, "in-force") == 0)
    return fake_run_until_in_force (f, "web", f->version,
                                    word_number (w, 2) + 1)
           <= word_number (w, 2);
  return false;
}

static const struct event events[] = {
  { "service", 1, event_service },
  { "node", 2, event_node },
  { "agent", 3, event_agent },
  { "run", 1, event_run },
  { "open", 2, event_open },
  { "reopen", 1, event_reopen },
  { "cancel", 1, event_cancel },
  { "loss", 1, event_loss },
  { "doubling", 1, event_duplication },
  { "delay", 2, event_delay },
  { "kill", 1, event_kill },
  { "restart", 1, event_restart },
  { "become", 2, event_become },
  { "freeze", 2, event_freeze },
  { "mute", 2, event_mute },
  { "cut", 2, event_cut },
  { "mend", 0, event_mend },
  { "drain", 1, event_drain },
  { "undrain", 1, event_undrain },
  { "weigh", 2, event_weigh },
  { "rank", 2, event_rank },
  { "platform", 1, event_platform },
  { "stop", 1, event_stop },
  { "unwell", 1, event_unwell },
  { "well", 1, event_well },
  { "leave", 1, event_leave },
  { "mark", 0, event_mark },
  { "finish", 1, event_finish },
  { "expect", 1, event_expect },
};

/* -- lines -- */

static void
split_words (struct words *w, const char *line)
{
  char *save = NULL;

  snprintf (w->text, sizeof w->text, "%s", line);
  w->count = 0;
  for (char *at = strtok_r (w->text, " \t", &save);
       at != NULL && w->count < WORDS_MAX; at = strtok_r (NULL, " \t", &save))
    w->items[w->count++] = at;
}

bool
scenario_run_line (struct fake *f, const char *line, char *reason, size_t cap)
{
  struct words w;

  split_words (&w, line);
  if (w.count == 0 || w.items[0][0] == '#')
    return true;
  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    {
      if (strcmp (events[i].name, w.items[0]) != 0)
        continue;
      if (w.count <= events[i].arguments)
        {
          snprintf (reason, cap, "needs %zu arguments", events[i].arguments);
          return false;
        }
      snprintf (reason, cap, "does not hold");
      return events[i].apply (f, &w);
    }
  snprintf (reason, cap, "unknown event");
  return false;
}

bool
scenario_run (const char *name, const char *text)
{
  struct fake *f = NULL;
  char line[256];
  char reason[64];
  bool good = true;
  size_t at = 0;

  for (unsigned n = 1; good && text[at] != '\0'; n++)
    {
      size_t len = strcspn (text + at, "\n");
      snprintf (line, sizeof line, "%.*s", (int)len, text + at);
      at += len + (text[at + len] == '\n' ? 1 : 0);
      if (strncmp (line, "seed ", 5) == 0)
        {
          if (f != NULL)
            fake_free (f);
          f = fake_new (strtoul (line + 5, NULL, 10));
          continue;
        }
      if (f == NULL)
        f = fake_new (1);
      good = scenario_run_line (f, line, reason, sizeof reason);
      if (!good)
        fprintf (stderr, "%s:%u: %s: %s\n", name, n, line, reason);
    }
  if (f != NULL)
    fake_free (f);
  return good;
}

bool
scenario_run_file (const char *path)
{
  char *text = calloc (1, FILE_MAX);
  FILE *file = fopen (path, "r");
  bool good = false;

  if (text != NULL && file != NULL && fread (text, 1, FILE_MAX - 1, file) > 0)
    good = scenario_run (path, text);
  if (file != NULL)
    fclose (file);
  free (text);
  return good;
}
