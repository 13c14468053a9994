/* story.c -- the lines of many logs that belong to one flow, in order

   Clocks of instances differ, so the time of a line does not tell what came
   first.  What one instance says of another does: a balancer that names a
   version of an agent's record has heard it after the agent wrote the line
   that announced it, and an offer is refused after the agent refused it.  The
   logs are merged by time, but a line waits until the lines that it follows
   from have been taken.  */

#include "ctl/story.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#define BEFORE_MS                                                              \
  10000               /* lines about beliefs this long before the flow's own */
#define AFTER_MS 2000 /* and after */
#define TEXT_MAX 64   /* bytes of a name or flow */

struct line
{
  char *text; /* owned; from event= on */
  int64_t ms;
  struct bl_str event;
  struct bl_str flow;
  struct bl_str why;
  struct bl_str target;
  uint64_t incarnation; /* of the record named; 0: none */
  uint64_t seq;
  uint64_t suppressed;
  bool wanted;
  struct line *next;
};

struct source
{
  char name[TEXT_MAX];
  struct line *lines; /* owned; in the order written */
  struct line *head;  /* first that was not taken yet */
  unsigned refused;   /* lines taken that refuse the flow */
  unsigned heard;     /* lines taken, of others, that tell of this refusing */
  struct source *next;
};

struct flow_trace
{
  char flow[TEXT_MAX];
  struct source *sources; /* owned */
  size_t size;
  const struct line *last_line; /* taken */
};

/* What an agent writes when its record changes.  */
static const char *const states[] = {
  "starting", "ready", "draining", "left", "dead",
};

/* What instances write of themselves and their dependencies.  */
static const char *const beliefs[] = {
  "started",        "stop_started",    "stopped", "store_lost",
  "store_regained", "routes_in_force", "state",
};

static const struct
{
  const char *why;
  const char *meaning;
} reasons[] = {
  { "backend_gone", "the agent had said that the backend server is gone, or "
                    "has started again" },
  { "backend_silent",
    "the agent's instance answered nothing for a second while "
    "others did" },
  { "denied_by_all", "no backend server holds the flow: it began before they "
                     "started" },
  { "all_refused",
    "every backend server that was offered the flow refused it" },
  { "no_backend", "no ready backend server of the service is known" },
  { "no_route", "the routes in force have none for the address" },
  { "route_dropped", "the routes in force no longer have the flow's route" },
  { "no_answer", "an agent did not answer an inquiry; the caller sends again" },
};

static bool
is_any (struct bl_str text, const char *const *words, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strlen (words[i]) == text.len
        && memcmp (words[i], text.ptr, text.len) == 0)
      return true;
  return false;
}

static bool
is_word (struct bl_str text, const char *word)
{
  return is_any (text, &word, 1);
}

/* -- one line -- */

/* The value of KEY in a line of key=value words; empty when there is none.  */
static struct bl_str
value_of (const char *text, const char *key)
{
  size_t len = strlen (key);

  for (const char *at = text; (at = strstr (at, key)) != NULL; at += len)
    if ((at == text || at[-1] == ' ') && at[len] == '=')
      return (struct bl_str){ at + len + 1, strcspn (at + len + 1, " \n") };
  return (struct bl_str){ "", 0 };
}

static uint64_t
number_of (struct bl_str text)
{
  return text.len > 0 ? strtoull (text.ptr, NULL, 10) : 0;
}

static int64_t
time_of (struct bl_str text)
{
  struct tm tm = { .tm_isdst = 0 };
  const char *rest = strptime (text.ptr, "%Y-%m-%dT%H:%M:%S", &tm);

  if (rest == NULL)
    return -1;
  return (int64_t)timegm (&tm) * 1000
         + (*rest == '.' ? strtol (rest + 1, NULL, 10) : 0);
}

static bool
names_flow (const struct flow_trace *flow_trace, struct bl_str flow)
{
  size_t len = strlen (flow_trace->flow);

  return flow.len >= len && memcmp (flow.ptr, flow_trace->flow, len) == 0
         && (flow.len == len || flow.ptr[len] == '-');
}

/* Only lines of the flow, and those of none, are kept.  */
static struct line *
parse_line (const struct flow_trace *flow_trace, const char *text)
{
  const char *event = strstr (text, "event=");
  const char *at = strstr (text, "time=");
  struct bl_str flow = value_of (text, "flow");
  struct line *line;
  const char *dot;

  if (event == NULL || at == NULL || at > event
      || (flow.len > 1 && !names_flow (flow_trace, flow)))
    return NULL;
  line = calloc (1, sizeof *line);
  if (line == NULL)
    return NULL;
  line->ms = time_of (value_of (at, "time"));
  line->text = strndup (event, strcspn (event, "\n"));
  if (line->ms < 0 || line->text == NULL)
    {
      free (line->text);
      free (line);
      return NULL;
    }
  line->event = value_of (line->text, "event");
  line->flow = value_of (line->text, "flow");
  line->why = value_of (line->text, "why");
  line->target = value_of (line->text, "target");
  line->suppressed = number_of (value_of (line->text, "suppressed"));
  line->incarnation = number_of (value_of (line->text, "record"));
  dot = memchr (value_of (line->text, "record").ptr, '.',
                value_of (line->text, "record").len);
  line->seq = dot != NULL ? strtoull (dot + 1, NULL, 10) : 0;
  return line;
}

/* -- reading -- */

struct flow_trace *
flow_trace_new (const char *flow)
{
  const char *dash = strchr (flow, '-');
  size_t len = dash != NULL ? (size_t)(dash - flow) : strlen (flow);
  struct bl_addr addr;
  struct flow_trace *flow_trace;

  if (bl_addr_parse (&addr, (struct bl_str){ flow, len }) != BL_OK
      || (dash != NULL && bl_addr_parse (&addr, bl_str_of (dash + 1)) != BL_OK))
    return NULL;
  flow_trace = calloc (1, sizeof *flow_trace);
  if (flow_trace != NULL)
    snprintf (flow_trace->flow, sizeof flow_trace->flow, "%s", flow);
  return flow_trace;
}

static void
free_source (struct source *s)
{
  struct line *line;
  struct line *next;

  LL_FOREACH_SAFE (s->lines, line, next)
  {
    free (line->text);
    free (line);
  }
  free (s);
}

void
flow_trace_free (struct flow_trace *flow_trace)
{
  struct source *s;
  struct source *next;

  if (flow_trace == NULL)
    return;
  LL_FOREACH_SAFE (flow_trace->sources, s, next)
  free_source (s);
  free (flow_trace);
}

static struct source *
source_of (struct flow_trace *flow_trace, struct bl_str name)
{
  struct source *s;

  LL_FOREACH (flow_trace->sources, s)
  if (is_word (name, s->name))
    return s;
  s = calloc (1, sizeof *s);
  if (s == NULL)
    return NULL;
  snprintf (s->name, sizeof s->name, "%.*s", (int)name.len, name.ptr);
  LL_APPEND (flow_trace->sources, s);
  return s;
}

/* Whoever collects logs may put the instance's name before each line.  */
static struct bl_str
name_before (const char *text)
{
  const char *at = strstr (text, "time=");
  const char *end = at;
  const char *start;

  while (end != NULL && end > text && end[-1] == ' ')
    end--;
  if (end == NULL || end == text)
    return (struct bl_str){ "", 0 };
  for (start = end; start > text && start[-1] != ' ';)
    start--;
  return (struct bl_str){ start, (size_t)(end - start) };
}

void
flow_trace_read (struct flow_trace *flow_trace, FILE *in, const char *name)
{
  char own[TEXT_MAX];
  char *text = NULL;
  size_t cap = 0;

  snprintf (own, sizeof own, "%s", name);
  while (getline (&text, &cap, in) > 0)
    {
      struct bl_str before = name_before (text);
      struct line *line = parse_line (flow_trace, text);
      struct source *s;
      if (line == NULL)
        continue;
      if (is_word (line->event, "started"))
        snprintf (own, sizeof own, "%.*s", (int)value_of (line->text, "id").len,
                  value_of (line->text, "id").ptr);
      s = source_of (flow_trace, before.len > 0 ? before : bl_str_of (own));
      if (s == NULL)
        break;
      flow_trace->size += line->flow.len > 1;
      LL_APPEND (s->lines, line);
    }
  free (text);
}

size_t
flow_trace_line_count (const struct flow_trace *flow_trace)
{
  return flow_trace->size;
}

/* -- choosing -- */

struct span
{
  int64_t first;
  int64_t last;
};

static struct span
span_of (const struct flow_trace *flow_trace)
{
  struct span span = { INT64_MAX, INT64_MIN };
  struct source *s;
  struct line *line;

  LL_FOREACH (flow_trace->sources, s)
  LL_FOREACH (s->lines, line)
  if (line->flow.len > 1)
    {
      span.first = line->ms < span.first ? line->ms : span.first;
      span.last = line->ms > span.last ? line->ms : span.last;
    }
  return span;
}

/* Whether a line of the flow is of the instance NAME, or about it.  */
static bool
is_involved (const struct flow_trace *flow_trace, struct bl_str name)
{
  struct source *s;
  struct line *line;

  LL_FOREACH (flow_trace->sources, s)
  LL_FOREACH (s->lines, line)
  if (line->flow.len > 1
      && (is_word (name, s->name)
          || (name.len == line->target.len
              && memcmp (name.ptr, line->target.ptr, name.len) == 0)))
    return true;
  return false;
}

/* Whether LINE tells of a version of its instance NAME's record that a line of
   the flow names, or of one that led to it.  Clocks say nothing here.  */
static bool
is_named (const struct flow_trace *flow_trace,
          const char *name,
          const struct line *line)
{
  struct source *s;
  struct line *by;

  if (line->incarnation == 0)
    return false;
  LL_FOREACH (flow_trace->sources, s)
  LL_FOREACH (s->lines, by)
  if (by->flow.len > 1 && is_word (by->target, name)
      && by->incarnation == line->incarnation && by->seq >= line->seq)
    return true;
  return false;
}

static bool
is_wanted (const struct flow_trace *flow_trace,
           const char *name,
           const struct line *line,
           const struct span *span)
{
  bool is_state
      = is_any (line->event, states, sizeof states / sizeof states[0]);

  if (line->flow.len > 1 || (is_state && is_named (flow_trace, name, line)))
    return true;
  if (line->ms < span->first - BEFORE_MS || line->ms > span->last + AFTER_MS)
    return false;
  if (is_word (line->event, "instance_learnt")
      || is_word (line->event, "backend_restarted"))
    return is_involved (flow_trace, line->target);
  return is_state
         || is_any (line->event, beliefs, sizeof beliefs / sizeof beliefs[0]);
}

static void
choose (struct flow_trace *flow_trace)
{
  struct span span = span_of (flow_trace);
  struct source *s;
  struct line *line;

  LL_FOREACH (flow_trace->sources, s)
  {
    bool involved = is_involved (flow_trace, bl_str_of (s->name));
    LL_FOREACH (s->lines, line)
    line->wanted = involved && is_wanted (flow_trace, s->name, line, &span);
    s->head = s->lines;
  }
}

/* -- ordering -- */

static void
skip_unwanted (struct source *s)
{
  while (s->head != NULL && !s->head->wanted)
    s->head = s->head->next;
}

static struct source *
find_source (struct flow_trace *flow_trace, struct bl_str name)
{
  struct source *s;

  LL_FOREACH (flow_trace->sources, s)
  if (is_word (name, s->name))
    return s;
  return NULL;
}

/* Whether OTHER has yet to tell what LINE, which is about it, has heard.  */
static bool
has_yet_to_tell (const struct source *other, const struct line *line)
{
  bool refusal = is_word (line->event, "offer_refused");
  const struct line *l;

  LL_FOREACH (other->head, l)
  {
    if (!l->wanted)
      continue;
    if (refusal && other->refused <= other->heard
        && is_word (l->event, "refused"))
      return true;
    if (line->incarnation != 0 && l->incarnation != 0
        && is_any (l->event, states, sizeof states / sizeof states[0])
        && (l->incarnation < line->incarnation
            || (l->incarnation == line->incarnation && l->seq <= line->seq)))
      return true;
  }
  return false;
}

static bool
must_wait (struct flow_trace *flow_trace, const struct source *s)
{
  const struct source *other = find_source (flow_trace, s->head->target);

  return other != NULL && other != s && has_yet_to_tell (other, s->head);
}

/* The source whose next line comes next.  Lines that wait for each other
   cannot be, unless a log is damaged; then time decides.  */
static struct source *
next_source (struct flow_trace *flow_trace)
{
  struct source *best = NULL;
  struct source *stuck = NULL;
  struct source *s;

  LL_FOREACH (flow_trace->sources, s)
  {
    skip_unwanted (s);
    if (s->head == NULL)
      continue;
    if (must_wait (flow_trace, s))
      {
        if (stuck == NULL || s->head->ms < stuck->head->ms)
          stuck = s;
      }
    else if (best == NULL || s->head->ms < best->head->ms)
      best = s;
  }
  return best != NULL ? best : stuck;
}

static struct line *
take (struct flow_trace *flow_trace, struct source *s)
{
  struct line *line = s->head;
  struct source *about = find_source (flow_trace, line->target);

  s->head = line->next;
  s->refused += is_word (line->event, "refused");
  if (about != NULL && is_word (line->event, "offer_refused"))
    about->heard++;
  return line;
}

/* -- printing -- */

/* All words but those that say nothing here: the flow, and counts of none.  */
static void
print_words (FILE *out, const char *text)
{
  const char *at = text;

  while (*at != '\0')
    {
      size_t len = strcspn (at, " ");
      if (strncmp (at, "flow=", 5) != 0
          && (len != 12 || strncmp (at, "suppressed=0", 12) != 0))
        fprintf (out, " %.*s", (int)len, at);
      at += len;
      at += strspn (at, " ");
    }
  fputc ('\n', out);
}

static void
print_line (FILE *out, const struct source *s, const struct line *line)
{
  time_t seconds = (time_t)(line->ms / 1000);
  struct tm tm;
  char at[16];

  gmtime_r (&seconds, &tm);
  strftime (at, sizeof at, "%H:%M:%S", &tm);
  fprintf (out, "%s.%03d %-24s", at, (int)(line->ms % 1000), s->name);
  print_words (out, line->text + strlen ("event="));
}

static bool
ends_flow (const struct line *line)
{
  return line->flow.len > 1 && is_word (line->event, "reset");
}

static const char *
meaning_of (struct bl_str why)
{
  for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++)
    if (is_word (why, reasons[i].why))
      return reasons[i].meaning;
  return "see docs/OPERATIONS.md";
}

/* What the instance that ENDING names had last said of itself.  */
static void
print_cause (struct flow_trace *flow_trace,
             FILE *out,
             const struct line *ending)
{
  struct source *about = find_source (flow_trace, ending->target);
  const struct line *said = NULL;
  struct line *line;

  if (about == NULL)
    {
      if (ending->target.len > 1)
        fprintf (out, "the log of %.*s was not given\n",
                 (int)ending->target.len, ending->target.ptr);
      return;
    }
  LL_FOREACH (about->lines, line)
  if (line->wanted && line->incarnation != 0
      && (line->incarnation < ending->incarnation
          || (line->incarnation == ending->incarnation
              && line->seq <= ending->seq))
      && is_any (line->event, states, sizeof states / sizeof states[0]))
    said = line;
  if (said != NULL)
    {
      fprintf (out, "before that: ");
      print_line (out, about, said);
    }
}

static uint64_t
left_out (const struct flow_trace *flow_trace)
{
  uint64_t n = 0;
  struct source *s;
  struct line *line;

  LL_FOREACH (flow_trace->sources, s)
  LL_FOREACH (s->lines, line)
  n += line->wanted ? line->suppressed : 0;
  return n;
}

void
flow_trace_print (struct flow_trace *flow_trace, FILE *out)
{
  const struct line *ending = NULL;
  const struct source *ender = NULL;
  struct source *s;

  choose (flow_trace);
  while ((s = next_source (flow_trace)) != NULL)
    {
      const struct line *line = take (flow_trace, s);
      print_line (out, s, line);
      if (ends_flow (line))
        {
          ending = line;
          ender = s;
        }
    }
  if (ending == NULL)
    fprintf (out, "no line here ends the flow\n");
  else
    {
      fprintf (out, "ended by %s: %.*s, %s\n", ender->name,
               (int)ending->why.len, ending->why.ptr, meaning_of (ending->why));
      print_cause (flow_trace, out, ending);
    }
  if (left_out (flow_trace) > 0)
    fprintf (out, "%lu lines of these kinds were over the budget\n",
             left_out (flow_trace));
}
