/* decision_log.c -- keeps the volume of logged decisions bounded

   Each kind of decision has a budget of lines a second.  What is beyond is
   counted, and the next line that passes tells how many were left out.  */

#include "daemon/daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KINDS_MAX 64

struct kind
{
  const char *what; /* a literal */
  uint64_t second_ms;
  unsigned lines;
  uint64_t suppressed;
};

struct decision_log
{
  unsigned lines_s;
  size_t count;
  struct kind kinds[KINDS_MAX];
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

/* Quotes would end the value that they stand in.  */
static void
log_refusal (struct bl_finding *finding)
{
  for (char *at = finding->text; *at != '\0'; at++)
    if (*at == '"')
      *at = '\'';
  io_log (IO_WARN, "reload_refused", "place=\"%s\" why=\"%s\"", finding->place,
          finding->text);
}

void
decision_log_reload (struct decision_log *log, const struct settings *s)
{
  static struct bl_findings findings;
  struct reloadable_settings live;

  findings.count = 0;
  if (s->reload_file == NULL || s->reload_file[0] == '\0')
    {
      io_log (IO_INFO, "reloaded", "id=%s changed=nothing", s->id.s);
      return;
    }
  if (settings_reload (s, &live, &findings) != BL_OK)
    {
      for (size_t i = 0; i < findings.count && i < BL_FINDINGS_MAX; i++)
        log_refusal (&findings.items[i]);
      return;
    }
  io_log (IO_INFO, "reloaded", "id=%s log_level=%s log_lines_s=%lu", s->id.s,
          live.log_level, live.log_lines_s);
  decision_log_set_limit (log, (unsigned)live.log_lines_s);
  io_log_set_level (live.log_level);
  reloadable_settings_clear (&live);
}

static struct kind *
find (struct decision_log *log, const char *what)
{
  for (size_t i = 0; i < log->count; i++)
    if (strcmp (log->kinds[i].what, what) == 0)
      return &log->kinds[i];
  if (log->count == KINDS_MAX)
    return NULL;
  log->kinds[log->count] = (struct kind){ .what = what };
  return &log->kinds[log->count++];
}

bool
decision_log_allow (struct decision_log *log,
                    uint64_t now,
                    const char *what,
                    uint64_t *suppressed)
{
  struct kind *k = find (log, what);

  if (k == NULL)
    return false;
  if (now - k->second_ms >= 1000)
    {
      k->second_ms = now;
      k->lines = 0;
    }
  if (k->lines >= log->lines_s)
    {
      k->suppressed++;
      return false;
    }
  k->lines++;
  *suppressed = k->suppressed;
  k->suppressed = 0;
  return true;
}

const char *
record_format (const struct bl_record *record, char *buf)
{
  if (record == NULL)
    return "-";
  snprintf (buf, RECORD_TEXT_MAX, "%lu.%u", record->incarnation, record->seq);
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
