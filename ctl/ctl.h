/* ctl.h -- commands of boragelatchctl, the operator's command-line tool  */

#ifndef CTL_H
#define CTL_H

#include "core/edit.h"
#include "io/io.h"

#include <jansson.h>

/* Reads of a root that references a missing part, until the part is taken to be
   lost.  */
#define CTL_ROOT_READS_MAX 6

/* The exit status of the program.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_USAGE = 1,        /* wrong arguments, or a file that cannot be read */
  CTL_REFUSED = 2,      /* the change is not valid; nothing was changed */
  CTL_CONFLICT = 3,     /* another operator changed the same object; nothing
                           was changed */
  CTL_UNREACHABLE = 4,  /* no answer; nothing was changed unless a message
                           reports an unknown outcome */
  CTL_NOT_IN_FORCE = 5, /* accepted, but not in force at every instance before
                           the time-out */
  CTL_NOT_FOUND = 6,    /* the logs do not mention the flow */
};

/* The settings that all commands share.  */
struct ctl
{
  char *platform; /* URL of the object API that holds the configuration */
  char *store;    /* IP:PORT of the object store of the users' platform; empty:
                     the deployment has none */
  char *admin;    /* IP:PORT of the admin interface of any balancer */
  char *by;       /* name of the operator, recorded with each change */
  int json;       /* boolean: print JSON instead of tables */
  int wait;       /* boolean: return when the change is in force everywhere */
  int dry_run;    /* boolean: print what would change; write nothing */
  int timeout_s;  /* limit on the wait for a change to be in force; also the
                     limit on the attempts to read the root object */
};

/* Makes one change of COUNT EDITS, whose contents it releases, and prints the
   result.  */
enum ctl_exit
ctl_change (const struct ctl *ctl, struct bl_edit *edits, size_t count);
/* Waits until VERSION is in force at every balancer and agent, and prints the
   progress to stderr.  */
enum ctl_exit ctl_wait (const struct ctl *ctl, uint64_t version);

/* Prints the services, backends, balancers, flows or changes, as WHAT selects.
   The services and changes are read from the platform, and the rest from the
   balancers and agents.  If a store is set, calls ctl_store_show instead.  */
enum ctl_exit ctl_show (const struct ctl *ctl, const char *what);
/* Prints the lines about FLOW of the logs in FILES, an array that ends with
   NULL, and the reason for the end of the flow.  */
enum ctl_exit ctl_explain (const char *flow, const char *const *files);
/* Prints the routes, backends or balancers, as WHAT selects, from the object
   store of the users' platform.  */
enum ctl_exit ctl_store_show (const struct ctl *ctl, const char *what);
/* Replaces all routes in the object store by the routes in TEXT.  */
enum ctl_exit ctl_store_replace_routes (const struct ctl *ctl,
                                        struct bl_str text);
/* Requests http://ADDR/v1/status.  Returns a new reference, or NULL if there is
   no valid answer.  */
json_t *ctl_status (const char *addr);

#endif
