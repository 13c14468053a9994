/* settings.h -- settings of the daemon

   A flag takes precedence over an environment variable, and an environment
   variable over the default.  */

#ifndef SETTINGS_H
#define SETTINGS_H

#include "boragelatch.h"

enum role
{
  ROLE_BALANCER = 1,
  ROLE_AGENT = 2,
  ROLE_DISPATCHER = 4,  /* a balancer with the datagram transport */
  ROLE_PASSTHROUGH = 8, /* an agent with the datagram transport */
};

/* All settings of a process.  Settings that do not apply to its role are not
   set.
   "Datagram" marks the settings of the datagram transport only.  */
struct settings
{
  enum role role;
  struct bl_name id;
  struct bl_name dc;
  uint32_t ip;
  unsigned long data_port;
  unsigned long control_port;
  unsigned long bulk_port;
  unsigned long admin_port;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX];
  char *log_level;
  unsigned long random_seed;  /* 0: taken from the clock */
  unsigned long stop_grace_s; /* longest graceful stop; 0: the role's default */
  char *platform;             /* URL of the object API; NULL: none */
  struct bl_name service;
  struct bl_addr backend;
  struct bl_addr health;   /* HTTP; port 0: only connection attempts count */
  struct bl_addr answers;  /* UDP address that receives packets to callers */
  struct bl_addr packets;  /* datagram: UDP, from callers or from balancers */
  struct bl_addr outgoing; /* datagram: UDP, from the backend server */
  struct bl_addr http;     /* datagram: readiness and metrics */
  uint32_t listen_ip;      /* datagram: of the control and link ports */
  unsigned long clock_offset_ms; /* datagram: added to the time of day */
  unsigned long metrics_port;    /* datagram: a second HTTP port; 0: none */
  struct bl_addr heartbeats;     /* datagram: HTTP, from the backend server */
  struct bl_addr store;          /* datagram: the platform's object store */
  unsigned long link_port;       /* datagram: UDP, messages about flows */
  double link_mbps;              /* datagram: bandwidth of the own link */
  unsigned long heartbeat_ms;    /* datagram: interval of heartbeats */
  unsigned long log_lines_s;     /* datagram: log lines a second per event */
  char *reload_file;             /* datagram: read at SIGHUP; NULL: none */
  unsigned long slots;           /* requests the backend server runs at once */
  unsigned long max_flows;       /* connections that the backend server holds */
  bool check_only;               /* check the settings and exit */
  bool print_only;               /* print the settings and exit */
};

/* Reads all settings and adds a finding for each invalid one.  Returns BL_OK,
   or BL_EFORMAT when there are findings.  --help and --usage print their text
   and end the process.  */
int settings_read (struct settings *s,
                   int argc,
                   const char **argv,
                   struct bl_findings *findings);

/* The settings that may change while a process runs.  */
struct reloadable_settings
{
  char *log_level; /* owned */
  unsigned long log_lines_s;
};

/* Reads lines "NAME=VALUE" from the reload file that S names; a setting that
   the file does not name is taken from S.  Returns BL_OK, or BL_EFORMAT with
   findings, whose places include the line number; *OUT is then empty.  */
int settings_reload (const struct settings *s,
                     struct reloadable_settings *out,
                     struct bl_findings *findings);
void reloadable_settings_clear (struct reloadable_settings *settings);
/* Prints each setting that applies to the role, and its origin: flag,
   environment or default.  */
void settings_print (const struct settings *s);
void settings_free (struct settings *s);

#endif
