/* decision_log.c -- limits the rate of logged decisions

   Each event name has a limit of lines a second.  Lines over the limit are
   suppressed, and the next line of the event that is logged reports their
   number.  This module also formats the records and flows of these lines.  */

#include "daemon/daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS_MAX        64 /* further events are not logged */
#define LIMIT_INTERVAL_MS 1000

struct event_limit
{
  const char *event_name;     /* a string literal */
  uint64_t interval_start_ms; /* start of the current interval */
  unsigned lines;             /* logged in this interval */
  uint64_t suppressed;        /* lines since the last one that was logged */
};

struct decision_log
{
  unsigned lines_s;
  size_t count;
  struct event_limit events[EVENTS_MAX];
};

struct decision_log *
decision_log_new (unsigned lines_s)
{
  struct decision_log *log = calloc (1, sizeof *log);

  if (log != NULL)
    log->lines_s = lines_s;
  return log;
}

void
decision_log_free (struct decision_log *log)
{
  free (log);
}

void
decision_log_set_limit (struct decision_log *log, unsigned lines_s)
{
  log->lines_s = lines_s;
}

/* Logs a finding.  Double quotes in its text are replaced, since they would end
   the quoted value in the log line.  */
static void
log_finding (struct bl_finding *finding)
{
  for (char *c = finding->text; *c != '\0'; c++)
    if (*c == '"')
      *c = '\'';
  io_log (IO_WARN, "reload_refused", "place=\"%s\" why=\"%s\"", finding->place,
          finding->text);
}

void
decision_log_reload (struct decision_log *log, const struct settings *s)
{
  static struct bl_findings findings;
  struct reloadable_settings reloaded;

  findings.count = 0;
  if (s->reload_file == NULL || s->reload_file[0] == '\0')
    {
      io_log (IO_INFO, "reloaded", "id=%s changed=nothing", s->id.s);
      return;
    }
  if (settings_reload (s, &reloaded, &findings) != BL_OK)
    {
      for (size_t i = 0; i < findings.count && i < BL_FINDINGS_MAX; i++)
        log_finding (&findings.items[i]);
      return;
    }
  io_log (IO_INFO, "reloaded", "id=%s log_level=%s log_lines_s=%lu", s->id.s,
          reloaded.log_level, reloaded.log_lines_s);
  decision_log_set_limit (log, (unsigned)reloaded.log_lines_s);
  io_log_set_level (reloaded.log_level);
  reloadable_settings_clear (&reloaded);
}

static struct event_limit *
find_event (struct decision_log *log, const char *event_name)
{
  for (size_t i = 0; i < log->count; i++)
    if (strcmp (log->events[i].event_name, event_name) == 0)
      return &log->events[i];
  if (log->count == EVENTS_MAX)
    return NULL;
  log->events[log->count] = (struct event_limit){ .event_name = event_name };
  return &log->events[log->count++];
}

bool
decision_log_allow (struct decision_log *log,
                    uint64_t now,
                    const char *event_name,
                    uint64_t *suppressed)
{
  struct event_limit *e = find_event (log, event_name);

  if (e == NULL)
    return false;
  if (now - e->interval_start_ms >= LIMIT_INTERVAL_MS)
    {
      e->interval_start_ms = now;
      e->lines = 0;
    }
  if (e->lines >= log->lines_s)
    {
      e->suppressed++;
      return false;
    }
  e->lines++;
  *suppressed = e->suppressed;
  e->suppressed = 0;
  return true;
}

const char *
record_version_format (const struct bl_record *record, char *buf)
{
  if (record == NULL)
    return "-";
  snprintf (buf, RECORD_VERSION_TEXT_MAX, "%lu.%u", record->incarnation,
            record->seq);
  return buf;
}

const char *
flow_format (const struct bl_flow_key *flow, char *buf)
{
  struct bl_addr src;
  struct bl_addr dst;
  char from[BL_ADDR_TEXT_MAX];
  char to[BL_ADDR_TEXT_MAX];

  if (flow == NULL)
    return "-";
  src = (struct bl_addr){ flow->src_ip, flow->src_port };
  dst = (struct bl_addr){ flow->dst_ip, flow->dst_port };
  snprintf (buf, FLOW_TEXT_MAX, "%s-%s", bl_addr_format (src, from),
            bl_addr_format (dst, to));
  return buf;
}
