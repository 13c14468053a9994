/* settings.c -- reads the settings of the daemon: flags take precedence over
   environment variables, and environment variables over defaults

   One table lists each setting: its flag, which also gives the name of its
   environment variable, its default and the function that reads it.  All values
   are collected as text first and then checked, so that a single run reports
   every invalid setting.  */

#include "daemon/settings.h"

#include <ctype.h>
#include <errno.h>
#include <popt.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_MAX           65535
#define FLOWS_MAX           1000000
#define GRACE_MAX_S         86400
#define ENV_NAME_MAX_BYTES  64
#define HEARTBEAT_MAX_MS    60000
#define LINK_MAX_MBPS       1000000
#define LOG_LINES_MAX_S     100000
#define CLOCK_OFFSET_MAX_MS 3600000 /* an hour */
/* With the ip transport agents terminate TCP connections; with the datagram
   transport backend servers do, and agents forward packets to them.  */
#define IP_ROLES       (ROLE_BALANCER | ROLE_AGENT)
#define DATAGRAM_ROLES (ROLE_DISPATCHER | ROLE_PASSTHROUGH)
#define ANY_ROLE       (IP_ROLES | DATAGRAM_ROLES)

struct option;

/* Checks TEXT and stores its value at TARGET, or adds a finding for the
   option.  */
typedef void option_reader (const struct option *option,
                            void *target,
                            const char *text,
                            struct bl_findings *findings);

struct option
{
  const char *name; /* of the flag, without the dashes */
  unsigned roles;   /* to which it applies: a mask of enum role */
  bool required;
  const char *default_value; /* "": none */
  option_reader *read;
  size_t offset;     /* of the value in struct settings */
  unsigned long max; /* for read_number and read_decimal */
  const char *help;
};

static option_reader read_name;
static option_reader read_ip;
static option_reader read_addr;
static option_reader read_number;
static option_reader read_decimal;
static option_reader read_seeds;
static option_reader read_text;
static option_reader read_level;

#define OFFSET(member) offsetof (struct settings, member)

static const struct option options[] = {
  { "id", ANY_ROLE, true, "", read_name, OFFSET (id), 0,
    "name of this instance, unique in its region" },
  { "dc", ANY_ROLE, true, "", read_name, OFFSET (dc), 0,
    "data centre of this instance" },
  { "ip", ANY_ROLE, true, "", read_ip, OFFSET (ip), 0,
    "address of this instance" },
  { "data-port", IP_ROLES, true, "", read_number, OFFSET (data_port), 65535,
    "UDP port for packets" },
  { "control-port", ANY_ROLE, true, "", read_number, OFFSET (control_port),
    65535, "UDP port for control messages" },
  { "bulk-port", ROLE_BALANCER, true, "", read_number, OFFSET (bulk_port),
    65535, "TCP port for pulls by other instances" },
  { "admin-port", IP_ROLES, true, "", read_number, OFFSET (admin_port), 65535,
    "HTTP port for health, metrics and administration" },
  { "seeds", ANY_ROLE, false, "", read_seeds, OFFSET (seeds), 0,
    "control addresses of some balancers, comma-separated" },
  { "log-level", ANY_ROLE, false, "info", read_level, OFFSET (log_level), 0,
    "error, warn, info or debug" },
  { "random-seed", ANY_ROLE, false, "0", read_number, OFFSET (random_seed),
    INT64_MAX, "seed of random choices; 0: taken from the clock" },
  { "stop-grace-s", ANY_ROLE, false, "0", read_number, OFFSET (stop_grace_s),
    GRACE_MAX_S,
    "longest graceful stop in seconds; 0: until all flows have ended" },
  { "platform", ROLE_BALANCER, false, "", read_text, OFFSET (platform), 0,
    "URL of the platform's object API" },
  { "packets", DATAGRAM_ROLES, true, "", read_addr, OFFSET (packets), 0,
    "UDP address for packets: a balancer's from callers, an agent's from "
    "balancers" },
  { "outgoing", ROLE_PASSTHROUGH, true, "", read_addr, OFFSET (outgoing), 0,
    "UDP address for packets that the backend server sends" },
  { "http", DATAGRAM_ROLES, true, "", read_addr, OFFSET (http), 0,
    "HTTP address for readiness and metrics" },
  { "listen-ip", DATAGRAM_ROLES, false, "", read_ip, OFFSET (listen_ip), 0,
    "IPv4 address that the control and link ports bind to, if --ip belongs to "
    "a device that forwards to this instance; default: --ip" },
  { "clock-offset-ms", DATAGRAM_ROLES, false, "0", read_number,
    OFFSET (clock_offset_ms), CLOCK_OFFSET_MAX_MS,
    "added to the time of day at the start, to test with clocks that differ" },
  { "metrics-port", DATAGRAM_ROLES, false, "0", read_number,
    OFFSET (metrics_port), 65535,
    "a second HTTP port, from which metrics are collected; 0: none" },
  { "heartbeats", ROLE_PASSTHROUGH, true, "", read_addr, OFFSET (heartbeats), 0,
    "HTTP address for the backend server's heartbeats" },
  { "store", DATAGRAM_ROLES, true, "", read_addr, OFFSET (store), 0,
    "address of the platform's object store" },
  { "link-port", ROLE_DISPATCHER, true, "", read_number, OFFSET (link_port),
    65535, "UDP port for agents' messages about flows" },
  { "link-mbps", ROLE_DISPATCHER, false, "0", read_decimal, OFFSET (link_mbps),
    LINK_MAX_MBPS,
    "bandwidth of the instance in Mbit/s, beyond which new flows are refused; "
    "0: not known" },
  { "heartbeat-ms", ROLE_PASSTHROUGH, false, "1000", read_number,
    OFFSET (heartbeat_ms), HEARTBEAT_MAX_MS,
    "milliseconds between two heartbeats of the backend server" },
  { "log-lines-s", DATAGRAM_ROLES, false, "10", read_number,
    OFFSET (log_lines_s), LOG_LINES_MAX_S,
    "maximum number of log lines a second for each event" },
  { "reload-file", DATAGRAM_ROLES, false, "", read_text, OFFSET (reload_file),
    0, "file of lines log-level=LEVEL and log-lines-s=COUNT, read at SIGHUP" },
  { "service", ROLE_AGENT | ROLE_PASSTHROUGH, true, "", read_name,
    OFFSET (service), 0, "service of the backend server" },
  { "backend", ROLE_AGENT | ROLE_PASSTHROUGH, true, "", read_addr,
    OFFSET (backend), 0, "TCP address of the backend server" },
  { "health", ROLE_AGENT, false, "", read_addr, OFFSET (health), 0,
    "HTTP address that serves the backend server's /health" },
  { "answers", ROLE_AGENT, true, "", read_addr, OFFSET (answers), 0,
    "UDP address that receives packets to callers" },
  { "slots", ROLE_AGENT, false, "8", read_number, OFFSET (slots), SLOTS_MAX,
    "requests that the backend server runs at once" },
  { "max-flows", ROLE_AGENT, false, "4096", read_number, OFFSET (max_flows),
    FLOWS_MAX, "connections that the backend server can hold" },
};

#define OPTION_COUNT (sizeof options / sizeof options[0])

/* The text of each option, owned, and its origin: flag, environment or
   default.  */
static char *values[OPTION_COUNT];
static const char *origins[OPTION_COUNT];

/* -- readers -- */

static void
add_finding (const struct option *o,
             struct bl_findings *f,
             const char *expected,
             const char *text)
{
  char place[BL_FINDING_PLACE_MAX];
  snprintf (place, sizeof place, "--%s", o->name);
  bl_findings_add (f, place, "must be %s, not \"%s\"", expected, text);
}

static void
read_name (const struct option *o,
           void *target,
           const char *text,
           struct bl_findings *f)
{
  if (bl_name_set (target, bl_str_of (text)) != BL_OK)
    add_finding (o, f, "a name of 1 to 47 letters, digits, '-', '_' or '.'",
                 text);
}

static void
read_ip (const struct option *o,
         void *target,
         const char *text,
         struct bl_findings *f)
{
  if (bl_ip_parse (target, bl_str_of (text)) != BL_OK)
    add_finding (o, f, "an IPv4 address", text);
}

static void
read_addr (const struct option *o,
           void *target,
           const char *text,
           struct bl_findings *f)
{
  if (bl_addr_parse (target, bl_str_of (text)) != BL_OK)
    add_finding (o, f, "an address of the form IP:PORT", text);
}

static void
read_number (const struct option *o,
             void *target,
             const char *text,
             struct bl_findings *f)
{
  char expected[64];
  char *end;
  unsigned long value;

  errno = 0;
  value = strtoul (text, &end, 10);
  if (isdigit ((unsigned char)text[0]) && *end == '\0' && errno == 0
      && value <= o->max)
    {
      memcpy (target, &value, sizeof value);
      return;
    }
  snprintf (expected, sizeof expected, "a whole number from 0 to %lu", o->max);
  add_finding (o, f, expected, text);
}

static void
read_decimal (const struct option *o,
              void *target,
              const char *text,
              struct bl_findings *f)
{
  char expected[64];
  char *end;
  double value;

  errno = 0;
  value = strtod (text, &end);
  if (isdigit ((unsigned char)text[0]) && *end == '\0' && errno == 0
      && value <= (double)o->max)
    {
      memcpy (target, &value, sizeof value);
      return;
    }
  snprintf (expected, sizeof expected, "a number from 0 to %lu", o->max);
  add_finding (o, f, expected, text);
}

static void
read_seeds (const struct option *o,
            void *target,
            const char *text,
            struct bl_findings *f)
{
  struct settings *s
      = (struct settings *)((char *)target - offsetof (struct settings, seeds));

  while (*text != '\0')
    {
      size_t len = strcspn (text, ",");
      if (s->seed_count == BL_SEEDS_MAX)
        {
          add_finding (o, f, "a list of at most 16 addresses", text);
          return;
        }
      if (bl_addr_parse (&s->seeds[s->seed_count], (struct bl_str){ text, len })
          != BL_OK)
        add_finding (o, f, "a list of addresses of the form IP:PORT", text);
      else
        s->seed_count++;
      text += len + (text[len] == ',' ? 1 : 0);
    }
}

static void
read_text (const struct option *o,
           void *target,
           const char *text,
           struct bl_findings *f)
{
  char **out = target;

  (void)o;
  (void)f;
  *out = strdup (text);
}

static void
read_level (const struct option *o,
            void *target,
            const char *text,
            struct bl_findings *f)
{
  static const char *const levels[] = { "error", "warn", "info", "debug" };

  for (size_t i = 0; i < sizeof levels / sizeof levels[0]; i++)
    if (strcmp (levels[i], text) == 0)
      {
        read_text (o, target, text, f);
        return;
      }
  add_finding (o, f, "error, warn, info or debug", text);
}

/* -- sources -- */

/* Writes the name of the environment variable of the option NAME to BUF.  */
static void
format_environment_name (char *buf, size_t cap, const char *name)
{
  size_t n = (size_t)snprintf (buf, cap, "BORAGELATCH_%s", name);

  for (size_t i = 0; i < n && i < cap; i++)
    buf[i] = buf[i] == '-' ? '_' : (char)toupper ((unsigned char)buf[i]);
}

/* Sets the origin of option I, and its text if no flag has set it.  */
static void
resolve_value (size_t i)
{
  char name[ENV_NAME_MAX_BYTES];
  const char *text;

  if (values[i] != NULL)
    {
      origins[i] = "flag";
      return;
    }
  format_environment_name (name, sizeof name, options[i].name);
  text = getenv (name);
  origins[i] = text != NULL ? "environment" : "default";
  values[i] = strdup (text != NULL ? text : options[i].default_value);
}

/* Stores the flags' texts in values, *ROLE and *TRANSPORT.  Returns false,
   after adding a finding, if a flag is invalid.  */
static bool
parse_flags (struct settings *s,
             int argc,
             const char **argv,
             char **role,
             char **transport,
             struct bl_findings *findings)
{
  struct poptOption table[OPTION_COUNT + 6];
  int check = 0;
  int print = 0;
  poptContext popt;
  int rc;

  memset (table, 0, sizeof table);
  for (size_t i = 0; i < OPTION_COUNT; i++)
    table[i] = (struct poptOption){ options[i].name, 0, POPT_ARG_STRING,
                                    &values[i],      0, options[i].help,
                                    "VALUE" };
  table[OPTION_COUNT] = (struct poptOption){ "role", 0, POPT_ARG_STRING,
                                             role,   0, "balancer or agent",
                                             "ROLE" };
  table[OPTION_COUNT + 4] = (struct poptOption){
    "transport", 0, POPT_ARG_STRING,
    transport,   0, "ip: agents terminate TCP, datagram: backend servers do",
    "TRANSPORT"
  };
  table[OPTION_COUNT + 1] = (struct poptOption){ "check-settings",
                                                 0,
                                                 POPT_ARG_NONE,
                                                 &check,
                                                 0,
                                                 "check the settings and exit",
                                                 NULL };
  table[OPTION_COUNT + 2]
      = (struct poptOption){ "print-settings",
                             0,
                             POPT_ARG_NONE,
                             &print,
                             0,
                             "print the settings with their origins and exit",
                             NULL };
  table[OPTION_COUNT + 3] = (struct poptOption){
    NULL, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help:", NULL
  };
  popt = poptGetContext (NULL, argc, argv, table, 0);
  rc = poptGetNextOpt (popt);
  if (rc < -1)
    bl_findings_add (findings, poptBadOption (popt, 0), "%s",
                     poptStrerror (rc));
  else if (poptPeekArg (popt) != NULL)
    bl_findings_add (findings, poptPeekArg (popt),
                     "unexpected argument; settings are given as --NAME=VALUE");
  poptFreeContext (popt);
  s->check_only = check != 0;
  s->print_only = print != 0;
  return rc >= -1;
}

static const struct
{
  enum role role;
  const char *name;
  const char *transport;
} roles[] = {
  { ROLE_BALANCER, "balancer", "ip" },
  { ROLE_AGENT, "agent", "ip" },
  { ROLE_DISPATCHER, "balancer", "datagram" },
  { ROLE_PASSTHROUGH, "agent", "datagram" },
};

#define ROLE_COUNT (sizeof roles / sizeof roles[0])

/* Sets the role from the names of a role and a transport.  A name that is NULL
   is taken from the environment.  */
static void
read_role (struct settings *s,
           const char *name,
           const char *transport,
           struct bl_findings *findings)
{
  bool role_found = false;

  if (name == NULL)
    name = getenv ("BORAGELATCH_ROLE");
  if (transport == NULL)
    transport = getenv ("BORAGELATCH_TRANSPORT");
  if (transport == NULL)
    transport = "ip";
  for (size_t i = 0; i < ROLE_COUNT && name != NULL; i++)
    {
      if (strcmp (name, roles[i].name) != 0)
        continue;
      role_found = true;
      if (strcmp (transport, roles[i].transport) == 0)
        s->role = roles[i].role;
    }
  if (!role_found)
    bl_findings_add (findings, "--role", "must be balancer or agent");
  else if (s->role == 0)
    bl_findings_add (findings, "--transport", "must be ip or datagram");
}

static void
read_option (struct settings *s, size_t i, struct bl_findings *findings)
{
  const struct option *o = &options[i];
  char place[BL_FINDING_PLACE_MAX];

  if ((o->roles & s->role) == 0)
    return;
  if (values[i][0] != '\0')
    o->read (o, (char *)s + o->offset, values[i], findings);
  else if (o->required)
    {
      snprintf (place, sizeof place, "--%s", o->name);
      bl_findings_add (findings, place, "must be given");
    }
}

int
settings_read (struct settings *s,
               int argc,
               const char **argv,
               struct bl_findings *findings)
{
  char *role = NULL;
  char *transport = NULL;

  memset (s, 0, sizeof *s);
  if (parse_flags (s, argc, argv, &role, &transport, findings))
    read_role (s, role, transport, findings);
  free (role);
  free (transport);
  for (size_t i = 0; i < OPTION_COUNT; i++)
    {
      resolve_value (i);
      read_option (s, i, findings);
      if (s->listen_ip == 0)
        s->listen_ip = s->ip;
    }
  return findings->count > 0 ? BL_EFORMAT : BL_OK;
}

/* -- reload -- */

#define RELOAD_LINE_MAX_BYTES 256

/* Returns the option NAME if it may change at run time, or else NULL.  */
static const struct option *
find_reloadable (const char *name)
{
  for (size_t i = 0; i < OPTION_COUNT; i++)
    if (strcmp (options[i].name, name) == 0
        && (options[i].offset == OFFSET (log_level)
            || options[i].offset == OFFSET (log_lines_s)))
      return &options[i];
  return NULL;
}

/* Reads line NUMBER of the reload file PATH into S, of which only the
   reloadable settings are used.  */
static void
read_reload_line (struct settings *s,
                  const char *path,
                  unsigned number,
                  char *line,
                  struct bl_findings *findings)
{
  char *value = strchr (line, '=');
  char place[BL_FINDING_PLACE_MAX];
  const struct option *o;
  size_t before;

  line[strcspn (line, "\r\n")] = '\0';
  if (line[0] == '\0' || line[0] == '#')
    return;
  snprintf (place, sizeof place, "%s:%u", path, number);
  if (value != NULL)
    *value++ = '\0';
  o = value != NULL ? find_reloadable (line) : NULL;
  if (o == NULL)
    {
      bl_findings_add (findings, place,
                       "must be log-level=LEVEL or log-lines-s=COUNT");
      return;
    }
  if (o->offset == OFFSET (log_level))
    {
      free (s->log_level);
      s->log_level = NULL;
    }
  before = findings->count;
  o->read (o, (char *)s + o->offset, value, findings);
  if (findings->count > before && before < BL_FINDINGS_MAX)
    memcpy (findings->items[before].place, place, sizeof place);
}

int
settings_reload (const struct settings *s,
                 struct reloadable_settings *out,
                 struct bl_findings *findings)
{
  struct settings read
      = { .log_level = strdup (s->log_level), .log_lines_s = s->log_lines_s };
  size_t before = findings->count;
  char line[RELOAD_LINE_MAX_BYTES];
  unsigned number = 0;
  FILE *in = fopen (s->reload_file, "r");

  *out = (struct reloadable_settings){ .log_lines_s = 0 };
  if (in == NULL)
    bl_findings_add (findings, s->reload_file, "%s", strerror (errno));
  while (in != NULL && fgets (line, sizeof line, in) != NULL)
    read_reload_line (&read, s->reload_file, ++number, line, findings);
  if (in != NULL)
    fclose (in);
  if (findings->count > before || read.log_level == NULL)
    {
      free (read.log_level);
      return BL_EFORMAT;
    }
  *out = (struct reloadable_settings){ read.log_level, read.log_lines_s };
  return BL_OK;
}

void
reloadable_settings_clear (struct reloadable_settings *settings)
{
  free (settings->log_level);
}

void
settings_print (const struct settings *s)
{
  for (size_t i = 0; i < ROLE_COUNT; i++)
    if (roles[i].role == s->role)
      printf ("role=%s\n", roles[i].name);
  if (s->role & DATAGRAM_ROLES)
    printf ("transport=datagram\n");
  for (size_t i = 0; i < OPTION_COUNT; i++)
    if (options[i].roles & s->role)
      printf ("%s=%s origin=%s\n", options[i].name, values[i], origins[i]);
}

void
settings_free (struct settings *s)
{
  for (size_t i = 0; i < OPTION_COUNT; i++)
    {
      free (values[i]);
      values[i] = NULL;
    }
  free (s->platform);
  free (s->log_level);
  free (s->reload_file);
}
