/* ctl.h -- the command-line tool  */

#ifndef CTL_H
#define CTL_H

#include "core/edit.h"
#include "io/io.h"

#include <jansson.h>

enum ctl_exit
{
  CTL_OK = 0,
  CTL_USAGE = 1,
  CTL_REFUSED = 2,     /* the change is wrong; nothing was changed */
  CTL_CONFLICT = 3,    /* somebody else changed the same; nothing was changed */
  CTL_UNREACHABLE = 4, /* no answer; nothing was changed unless said so */
  CTL_NOT_IN_FORCE = 5, /* accepted, but not in force everywhere in time */
  CTL_NOT_FOUND = 6,    /* nothing is known of what was asked about */
};

struct ctl
{
  char *platform; /* URL */
  char *store;    /* IP:PORT of the users' platform; empty: not there */
  char *admin;    /* IP:PORT of any balancer */
  char *by;       /* operator */
  int json;
  int wait;
  int dry_run;
  int timeout_s;
};

/* Makes a change of EDITS, which it takes over; reports and returns the exit
   status.  */
enum ctl_exit
ctl_change (const struct ctl *ctl, struct bl_edit *edits, size_t count);
/* Waits until VERSION is in force at every balancer, with progress.  */
enum ctl_exit ctl_wait (const struct ctl *ctl, uint64_t version);

enum ctl_exit ctl_show (const struct ctl *ctl, const char *what);
/* Prints what the logs in FILES, up to a NULL, tell of FLOW, and what ended it.
 */
enum ctl_exit ctl_explain (const char *flow, const char *const *files);
/* The same as ctl_show, from the store of the users' platform: routes, backends
   or balancers.  */
enum ctl_exit ctl_store_show (const struct ctl *ctl, const char *what);
/* Puts the routes in TEXT, all of them, in force.  */
enum ctl_exit ctl_store_replace_routes (const struct ctl *ctl,
                                        struct bl_str text);
/* GETs http://ADDR/v1/status; NULL without an answer.  */
json_t *ctl_status (const char *addr);

#endif
