/* settings.h -- settings of the daemon: flags over environment over defaults */

#ifndef SETTINGS_H
#define SETTINGS_H

#include "boragelatch.h"

enum role
{
  ROLE_BALANCER = 1,
  ROLE_AGENT = 2,
  ROLE_DISPATCHER = 4,  /* a balancer whose transport is datagram */
  ROLE_PASSTHROUGH = 8, /* an agent whose transport is datagram */
};

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
  unsigned long random_seed; /* 0: from the clock */
  unsigned long stop_grace_s;
  char *platform; /* URL; empty: none */
  struct bl_name service;
  struct bl_addr backend;
  struct bl_addr health;   /* HTTP; port 0: a connection attempt is the check */
  struct bl_addr answers;  /* where packets to callers are handed over */
  struct bl_addr packets;  /* datagram: from callers, or from balancers */
  struct bl_addr outgoing; /* datagram: from the backend server */
  struct bl_addr http;     /* datagram: readiness, metrics */
  uint32_t listen_ip;      /* datagram: of control and link port */
  unsigned long clock_offset_ms; /* datagram */
  unsigned long metrics_port;    /* datagram: a second one for HTTP; 0: none */
  struct bl_addr heartbeats;     /* datagram: HTTP for the backend server */
  struct bl_addr store;          /* datagram: the platform's object store */
  unsigned long link_port;       /* datagram: UDP, messages about flows */
  unsigned long heartbeat_ms;
  unsigned long log_lines_s;
  char *reload_file; /* datagram: read at SIGHUP; empty: none */
  unsigned long slots;
  unsigned long max_flows;
  bool check_only;
  bool print_only;
};

/* Reads all settings and reports every fault together.  Returns BL_OK or
   BL_EFORMAT; help and usage are printed and end the process.  */
int settings_read (struct settings *s,
                   int argc,
                   const char **argv,
                   struct bl_findings *findings);
/* What may change while a process runs.  */
struct reloadable_settings
{
  char *log_level; /* owned */
  unsigned long log_lines_s;
};

/* Reads lines "NAME=VALUE" of the file that S names; what it does not name is
   as in S.  BL_EFORMAT with findings, each with its line; *OUT is then empty.
 */
int settings_reload (const struct settings *s,
                     struct reloadable_settings *out,
                     struct bl_findings *findings);
void reloadable_settings_clear (struct reloadable_settings *live);
/* Prints each setting that applies to the role, with where it came from.  */
void settings_print (const struct settings *s);
void settings_free (struct settings *s);

#endif
