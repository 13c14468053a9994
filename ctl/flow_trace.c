/* flow_trace.c -- trace of one flow across the logs of several instances

   The module selects the lines that concern the flow from the logs and merges
   them in causal order.  The clocks of instances differ, so the time of a line
   alone does not determine the order.  The references between instances do: a
   balancer that logs a version of an agent's record has received it after the
   agent logged that version, and a balancer logs the refusal of an offer after
   the agent logged the refusal.  The logs are therefore merged by time, but a
   line is held back until the lines that caused it have been taken.  */

#include "ctl/flow_trace.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <utlist.h>

#define CONTEXT_BEFORE_MS                                                      \
  10000 /* context lines are selected from this long before the first line of  \
           the flow */
#define CONTEXT_AFTER_MS                                                       \
  2000 /* and until this long after the last line of the flow */
#define NAME_MAX_BYTES                                                         \
  64 /* of the name of an instance or flow, with the null */

/* A line of a log.  The strings point into TEXT.  */
struct line
{
  char *text;      /* owned; starts at event= */
  int64_t time_ms; /* since 1970, by the clock of the instance */
  struct bl_str event;
  struct bl_str flow; /* empty or "-": the line names no flow */
  struct bl_str why;
  struct bl_str target; /* id of the instance that the line is about, or "-" */
  uint64_t incarnation; /* of the record that the line names; 0: none */
  uint64_t seq;         /* sequence number of that record */
  uint64_t suppressed;  /* lines of this kind suppressed by the rate limit */
  bool selected;        /* to be printed */
  struct line *next;
};

/* The lines of an instance.  A line is taken when the merge has passed it.  */
struct instance_log
{
  char name[NAME_MAX_BYTES]; /* id of the instance */
  struct line *lines;        /* owned; in the order written */
  struct line *next_line;    /* first line that is not taken yet */
  unsigned refusals;         /* lines taken in which it refuses the flow */
  unsigned refusal_reports;  /* lines taken in which other instances report a
                                refusal by it */
  struct instance_log *next;
};

struct flow_trace
{
  char flow[NAME_MAX_BYTES];
  struct instance_log *logs;    /* owned */
  size_t flow_line_count;       /* lines that name the flow */
  const struct line *last_line; /* unused */
};

/* The events that an agent logs when the state in its record changes.  */
static const char *const state_events[] = {
  "starting", "ready", "draining", "left", "dead",
};

/* The events that instances log about themselves and their dependencies,
   whether or not a flow is concerned.  */
static const char *const context_events[] = {
  "started",        "stop_started",    "stopped", "store_lost",
  "store_regained", "routes_in_force", "state",
};

/* The explanation of each why= value of a line that ends a flow.  */
static const struct
{
  const char *why;
  const char *meaning;
} reasons[] = {
  { "backend_gone", "the agent had said that the backend server is gone, or "
                    "has started again" },
  { "backend_silent",
    "the agent answered nothing for a second while other agents "
    "answered" },
  { "denied_by_all", "no backend server holds the flow: it began before they "
                     "started" },
  { "all_refused",
    "every backend server that was offered the flow refused it" },
  { "no_backend", "no ready backend server of the service is known" },
  { "no_route", "the routes in force contain no route for the address" },
  { "route_dropped",
    "the routes in force no longer contain the route of the flow" },
  { "no_answer", "an agent did not answer the owner lookup; the caller sends "
                 "the packet again" },
};

static bool
equals_any (struct bl_str text, const char *const *words, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strlen (words[i]) == text.len
        && memcmp (words[i], text.ptr, text.len) == 0)
      return true;
  return false;
}

static bool
equals (struct bl_str text, const char *word)
{
  return equals_any (text, &word, 1);
}

/* -- parsing a line -- */

/* Returns the value of KEY in a line of key=value words; empty if absent.  */
static struct bl_str
get_value (const char *text, const char *key)
{
  size_t len = strlen (key);

  for (const char *at = text; (at = strstr (at, key)) != NULL; at += len)
    if ((at == text || at[-1] == ' ') && at[len] == '=')
      return (struct bl_str){ at + len + 1, strcspn (at + len + 1, " \n") };
  return (struct bl_str){ "", 0 };
}

static uint64_t
parse_number (struct bl_str text)
{
  return text.len > 0 ? strtoull (text.ptr, NULL, 10) : 0;
}

/* Returns the milliseconds since 1970, or -1 if TEXT is not a time in ISO 8601
   format.  */
static int64_t
parse_time_ms (struct bl_str text)
{
  struct tm tm = { .tm_isdst = 0 };
  const char *rest = strptime (text.ptr, "%Y-%m-%dT%H:%M:%S", &tm);

  if (rest == NULL)
    return -1;
  return (int64_t)timegm (&tm) * 1000
         + (*rest == '.' ? strtol (rest + 1, NULL, 10) : 0);
}

/* Returns whether FLOW is the flow of the trace; if the trace was given only
   the caller's address, the rest of FLOW is ignored.  */
static bool
matches_flow (const struct flow_trace *trace, struct bl_str flow)
{
  size_t len = strlen (trace->flow);

  return flow.len >= len && memcmp (flow.ptr, trace->flow, len) == 0
         && (flow.len == len || flow.ptr[len] == '-');
}

/* Returns the parsed line, newly allocated, or NULL if TEXT is not a log line
   or names another flow.  Lines that name no flow are returned.  */
static struct line *
parse_line (const struct flow_trace *trace, const char *text)
{
  const char *event = strstr (text, "event=");
  const char *at = strstr (text, "time=");
  struct bl_str flow = get_value (text, "flow");
  struct line *line;
  const char *dot;

  if (event == NULL || at == NULL || at > event
      || (flow.len > 1 && !matches_flow (trace, flow)))
    return NULL;
  line = calloc (1, sizeof *line);
  if (line == NULL)
    return NULL;
  line->time_ms = parse_time_ms (get_value (at, "time"));
  line->text = strndup (event, strcspn (event, "\n"));
  if (line->time_ms < 0 || line->text == NULL)
    {
      free (line->text);
      free (line);
      return NULL;
    }
  line->event = get_value (line->text, "event");
  line->flow = get_value (line->text, "flow");
  line->why = get_value (line->text, "why");
  line->target = get_value (line->text, "target");
  line->suppressed = parse_number (get_value (line->text, "suppressed"));
  line->incarnation = parse_number (get_value (line->text, "record"));
  dot = memchr (get_value (line->text, "record").ptr, '.',
                get_value (line->text, "record").len);
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
  struct flow_trace *trace;

  if (bl_addr_parse (&addr, (struct bl_str){ flow, len }) != BL_OK
      || (dash != NULL && bl_addr_parse (&addr, bl_str_of (dash + 1)) != BL_OK))
    return NULL;
  trace = calloc (1, sizeof *trace);
  if (trace != NULL)
    snprintf (trace->flow, sizeof trace->flow, "%s", flow);
  return trace;
}

static void
free_log (struct instance_log *log)
{
  struct line *line;
  struct line *next;

  LL_FOREACH_SAFE (log->lines, line, next)
  {
    free (line->text);
    free (line);
  }
  free (log);
}

void
flow_trace_free (struct flow_trace *trace)
{
  struct instance_log *log;
  struct instance_log *next;

  if (trace == NULL)
    return;
  LL_FOREACH_SAFE (trace->logs, log, next)
  free_log (log);
  free (trace);
}

static struct instance_log *
find_or_add_log (struct flow_trace *trace, struct bl_str name)
{
  struct instance_log *log;

  LL_FOREACH (trace->logs, log)
  if (equals (name, log->name))
    return log;
  log = calloc (1, sizeof *log);
  if (log == NULL)
    return NULL;
  snprintf (log->name, sizeof log->name, "%.*s", (int)name.len, name.ptr);
  LL_APPEND (trace->logs, log);
  return log;
}

/* Returns the word before time=, or an empty string.  Programs that collect
   logs may write the name of the instance before each line.  */
static struct bl_str
get_prefix_name (const char *text)
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
flow_trace_read (struct flow_trace *trace, FILE *in, const char *name)
{
  char instance[NAME_MAX_BYTES];
  char *text = NULL;
  size_t cap = 0;

  snprintf (instance, sizeof instance, "%s", name);
  while (getline (&text, &cap, in) > 0)
    {
      struct bl_str prefix = get_prefix_name (text);
      struct line *line = parse_line (trace, text);
      struct instance_log *log;
      if (line == NULL)
        continue;
      if (equals (line->event, "started"))
        snprintf (instance, sizeof instance, "%.*s",
                  (int)get_value (line->text, "id").len,
                  get_value (line->text, "id").ptr);
      log = find_or_add_log (trace,
                             prefix.len > 0 ? prefix : bl_str_of (instance));
      if (log == NULL)
        break;
      trace->flow_line_count += line->flow.len > 1;
      LL_APPEND (log->lines, line);
    }
  free (text);
}

size_t
flow_trace_line_count (const struct flow_trace *trace)
{
  return trace->flow_line_count;
}

/* -- selecting -- */

struct time_range
{
  int64_t first;
  int64_t last;
};

/* Returns the times of the first and last line that names the flow.  */
static struct time_range
get_time_range (const struct flow_trace *trace)
{
  struct time_range time_range = { INT64_MAX, INT64_MIN };
  struct instance_log *log;
  struct line *line;

  LL_FOREACH (trace->logs, log)
  LL_FOREACH (log->lines, line)
  if (line->flow.len > 1)
    {
      time_range.first
          = line->time_ms < time_range.first ? line->time_ms : time_range.first;
      time_range.last
          = line->time_ms > time_range.last ? line->time_ms : time_range.last;
    }
  return time_range;
}

/* Returns whether a line of the flow was logged by the instance NAME or has it
   as the target.  */
static bool
is_involved (const struct flow_trace *trace, struct bl_str name)
{
  struct instance_log *log;
  struct line *line;

  LL_FOREACH (trace->logs, log)
  LL_FOREACH (log->lines, line)
  if (line->flow.len > 1
      && (equals (name, log->name)
          || (name.len == line->target.len
              && memcmp (name.ptr, line->target.ptr, name.len) == 0)))
    return true;
  return false;
}

/* Returns whether LINE, logged by the instance NAME, names a version of the
   record of NAME that a line of the flow names too, or an earlier version of
   the same incarnation.  Times are not compared, since clocks differ.  */
static bool
precedes_named_record (const struct flow_trace *trace,
                       const char *name,
                       const struct line *line)
{
  struct instance_log *log;
  struct line *mention;

  if (line->incarnation == 0)
    return false;
  LL_FOREACH (trace->logs, log)
  LL_FOREACH (log->lines, mention)
  if (mention->flow.len > 1 && equals (mention->target, name)
      && mention->incarnation == line->incarnation && mention->seq >= line->seq)
    return true;
  return false;
}

/* Returns whether LINE of the involved instance NAME is to be printed: the line
   names the flow, leads to a record version that the flow depended on, or gives
   the context at the time of the flow.  */
static bool
is_selected (const struct flow_trace *trace,
             const char *name,
             const struct line *line,
             const struct time_range *time_range)
{
  bool is_state = equals_any (line->event, state_events,
                              sizeof state_events / sizeof state_events[0]);

  if (line->flow.len > 1
      || (is_state && precedes_named_record (trace, name, line)))
    return true;
  if (line->time_ms < time_range->first - CONTEXT_BEFORE_MS
      || line->time_ms > time_range->last + CONTEXT_AFTER_MS)
    return false;
  if (equals (line->event, "instance_learnt")
      || equals (line->event, "backend_restarted"))
    return is_involved (trace, line->target);
  return is_state
         || equals_any (line->event, context_events,
                        sizeof context_events / sizeof context_events[0]);
}

static void
select_lines (struct flow_trace *trace)
{
  struct time_range time_range = get_time_range (trace);
  struct instance_log *log;
  struct line *line;

  LL_FOREACH (trace->logs, log)
  {
    bool involved = is_involved (trace, bl_str_of (log->name));
    LL_FOREACH (log->lines, line)
    line->selected
        = involved && is_selected (trace, log->name, line, &time_range);
    log->next_line = log->lines;
  }
}

/* -- ordering -- */

static void
skip_unselected (struct instance_log *log)
{
  while (log->next_line != NULL && !log->next_line->selected)
    log->next_line = log->next_line->next;
}

static struct instance_log *
find_log (struct flow_trace *trace, struct bl_str name)
{
  struct instance_log *log;

  LL_FOREACH (trace->logs, log)
  if (equals (name, log->name))
    return log;
  return NULL;
}

/* Returns whether OTHER, the target of LINE, has a line that must precede LINE
   but was not taken yet: the refusal that LINE reports, or a state change in
   the record version that LINE names or in an earlier one.  */
static bool
has_pending_cause (const struct instance_log *other, const struct line *line)
{
  bool is_refusal_report = equals (line->event, "offer_refused");
  const struct line *l;

  LL_FOREACH (other->next_line, l)
  {
    if (!l->selected)
      continue;
    if (is_refusal_report && other->refusals <= other->refusal_reports
        && equals (l->event, "refused"))
      return true;
    if (line->incarnation != 0 && l->incarnation != 0
        && equals_any (l->event, state_events,
                       sizeof state_events / sizeof state_events[0])
        && (l->incarnation < line->incarnation
            || (l->incarnation == line->incarnation && l->seq <= line->seq)))
      return true;
  }
  return false;
}

static bool
must_wait (struct flow_trace *trace, const struct instance_log *log)
{
  const struct instance_log *other = find_log (trace, log->next_line->target);

  return other != NULL && other != log
         && has_pending_cause (other, log->next_line);
}

/* Returns the log to take the next line from, or NULL at the end: of the lines
   that need not wait, the earliest.  Lines wait for each other only if a log is
   damaged; the earliest of them is then taken.  */
static struct instance_log *
next_log (struct flow_trace *trace)
{
  struct instance_log *best = NULL;
  struct instance_log *blocked = NULL;
  struct instance_log *log;

  LL_FOREACH (trace->logs, log)
  {
    skip_unselected (log);
    if (log->next_line == NULL)
      continue;
    if (must_wait (trace, log))
      {
        if (blocked == NULL
            || log->next_line->time_ms < blocked->next_line->time_ms)
          blocked = log;
      }
    else if (best == NULL || log->next_line->time_ms < best->next_line->time_ms)
      best = log;
  }
  return best != NULL ? best : blocked;
}

static struct line *
take_line (struct flow_trace *trace, struct instance_log *log)
{
  struct line *line = log->next_line;
  struct instance_log *subject = find_log (trace, line->target);

  log->next_line = line->next;
  log->refusals += equals (line->event, "refused");
  if (subject != NULL && equals (line->event, "offer_refused"))
    subject->refusal_reports++;
  return line;
}

/* -- printing -- */

/* Prints all words of a line except flow= and counts of 0 suppressed lines.  */
static void
print_fields (FILE *out, const char *text)
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
print_line (FILE *out, const struct instance_log *log, const struct line *line)
{
  time_t seconds = (time_t)(line->time_ms / 1000);
  struct tm tm;
  char at[16];

  gmtime_r (&seconds, &tm);
  strftime (at, sizeof at, "%H:%M:%S", &tm);
  fprintf (out, "%s.%03d %-24s", at, (int)(line->time_ms % 1000), log->name);
  print_fields (out, line->text + strlen ("event="));
}

static bool
ends_flow (const struct line *line)
{
  return line->flow.len > 1 && equals (line->event, "reset");
}

static const char *
get_meaning (struct bl_str why)
{
  for (size_t i = 0; i < sizeof reasons / sizeof reasons[0]; i++)
    if (equals (why, reasons[i].why))
      return reasons[i].meaning;
  return "see docs/OPERATIONS.md";
}

/* Prints the last state change that the target of ENDING logged before the
   record version that ENDING names, or with it.  */
static void
print_cause (struct flow_trace *trace, FILE *out, const struct line *ending)
{
  struct instance_log *subject = find_log (trace, ending->target);
  const struct line *last_state = NULL;
  struct line *line;

  if (subject == NULL)
    {
      if (ending->target.len > 1)
        fprintf (out, "the log of %.*s was not given\n",
                 (int)ending->target.len, ending->target.ptr);
      return;
    }
  LL_FOREACH (subject->lines, line)
  if (line->selected && line->incarnation != 0
      && (line->incarnation < ending->incarnation
          || (line->incarnation == ending->incarnation
              && line->seq <= ending->seq))
      && equals_any (line->event, state_events,
                     sizeof state_events / sizeof state_events[0]))
    last_state = line;
  if (last_state != NULL)
    {
      fprintf (out, "before that: ");
      print_line (out, subject, last_state);
    }
}

/* Returns the number of lines that the rate limit on log lines suppressed,
   according to the selected lines.  */
static uint64_t
count_suppressed (const struct flow_trace *trace)
{
  uint64_t n = 0;
  struct instance_log *log;
  struct line *line;

  LL_FOREACH (trace->logs, log)
  LL_FOREACH (log->lines, line)
  n += line->selected ? line->suppressed : 0;
  return n;
}

void
flow_trace_print (struct flow_trace *trace, FILE *out)
{
  const struct line *ending = NULL;
  const struct instance_log *ending_log = NULL;
  struct instance_log *log;

  select_lines (trace);
  while ((log = next_log (trace)) != NULL)
    {
      const struct line *line = take_line (trace, log);
      print_line (out, log, line);
      if (ends_flow (line))
        {
          ending = line;
          ending_log = log;
        }
    }
  if (ending == NULL)
    fprintf (out, "no line of these logs ends the flow\n");
  else
    {
      fprintf (out, "ended by %s: %.*s, %s\n", ending_log->name,
               (int)ending->why.len, ending->why.ptr,
               get_meaning (ending->why));
      print_cause (trace, out, ending);
    }
  if (count_suppressed (trace) > 0)
    fprintf (out,
             "the rate limit on log lines suppressed %lu more lines of these "
             "kinds\n",
             count_suppressed (trace));
}
