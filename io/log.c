/* log.c -- logs one line of key=value pairs per event, with log4c

   Each line is written to standard output with one system call.  Logging never
   blocks: while the reader of a pipe does not keep up, lines are dropped and
   counted, and the next line written reports their number (dropped_lines).  */

#include "io/io.h"

#include <log4c.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024 /* of event and pairs; longer lines are cut */

static log4c_category_t *category;

static const struct
{
  const char *name;
  int priority;
} levels[] = {
  [IO_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [IO_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [IO_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [IO_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static const char *
level_name (int priority)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (levels[i].priority == priority)
      return levels[i].name;
  return "info";
}

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static __thread char line[LINE_MAX_BYTES + 64];
  struct timespec ts;
  struct tm tm;
  char date_time[32];

  (void)layout;
  clock_gettime (CLOCK_REALTIME, &ts);
  gmtime_r (&ts.tv_sec, &tm);
  strftime (date_time, sizeof date_time, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (line, sizeof line, "time=%s.%03ldZ level=%s %s\n", date_time,
            ts.tv_nsec / 1000000, level_name (event->evt_priority),
            event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = {
  .name = "key_value",
  .format = format_line,
};

/* Returns true if standard output accepts a whole line without blocking.  A
   writable pipe accepts PIPE_BUF bytes, and lines are shorter.  */
static bool
stdout_is_writable (void)
{
  struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&fd, 1, 0) == 1 && (fd.revents & POLLOUT) != 0;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  static __thread char line[LINE_MAX_BYTES + 128];
  static unsigned long dropped;
  unsigned long dropped_before;
  int len;

  (void)appender;
  if (!stdout_is_writable ())
    {
      __atomic_add_fetch (&dropped, 1, __ATOMIC_RELAXED);
      return 0;
    }
  dropped_before = __atomic_exchange_n (&dropped, 0, __ATOMIC_RELAXED);
  len = snprintf (line, sizeof line, "%s", event->evt_rendered_msg);
  if (dropped_before > 0)
    len = snprintf (line, sizeof line, "%.*s dropped_lines=%lu\n", len - 1,
                    event->evt_rendered_msg, dropped_before);
  return write (STDOUT_FILENO, line, (size_t)len) == len ? 0 : -1;
}

static const log4c_appender_type_t appender_type = {
  .name = "standard_output",
  .append = append_line,
};

/* Returns the log4c priority of a level, or -1 if LEVEL is not a level.  */
static int
priority_of (const char *level)
{
  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (strcmp (levels[i].name, level) == 0)
      return levels[i].priority;
  return -1;
}

int
io_log_set_level (const char *level)
{
  int priority = priority_of (level);

  if (priority < 0)
    return BL_EFORMAT;
  log4c_category_set_priority (category, priority);
  return BL_OK;
}

int
io_log_open (const char *level)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;
  int priority = priority_of (level);

  if (priority < 0)
    return BL_EFORMAT;
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  layout = log4c_layout_get ("key_value");
  log4c_layout_set_type (layout, &layout_type);
  appender = log4c_appender_get ("standard_output");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("boragelatch");
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, priority);
  return BL_OK;
}

void
io_log_close (void)
{
  category = NULL;
  log4c_fini ();
}

void
io_log (enum io_level level, const char *event, const char *format, ...)
{
  char text[LINE_MAX_BYTES];
  va_list args;
  int n;

  if (category == NULL
      || !log4c_category_is_priority_enabled (category, levels[level].priority))
    return;
  n = snprintf (text, sizeof text, "event=%s ", event);
  va_start (args, format);
  vsnprintf (text + n, sizeof text - (size_t)n, format, args);
  va_end (args);
  log4c_category_log (category, levels[level].priority, "%s", text);
}

bool
io_rate_limit_allow (struct io_rate_limit *limit,
                     uint64_t now,
                     uint64_t interval_ms,
                     uint64_t *suppressed)
{
  if (now < limit->interval_end_ms)
    {
      limit->suppressed++;
      return false;
    }
  limit->interval_end_ms = now + interval_ms;
  *suppressed = limit->suppressed;
  limit->suppressed = 0;
  return true;
}

void
io_print_findings (const struct bl_findings *findings)
{
  size_t stored = findings->count;

  if (stored > BL_FINDINGS_MAX)
    stored = BL_FINDINGS_MAX;
  for (size_t i = 0; i < stored; i++)
    fprintf (stderr, "%s: %s\n", findings->items[i].place,
             findings->items[i].text);
}
