/* route_table.h -- route table: maps an address and port to services  */

#ifndef BL_ROUTE_TABLE_H
#define BL_ROUTE_TABLE_H

#include "boragelatch.h"

/* Former services that are kept for a route, the latest ones.  */
#define BL_FORMER_MAX 1024

/* HTTP path at which a balancer serves the text of its routes in force.  */
#define BL_ROUTES_PATH "/v1/routes"

/* A service of a route and its share of the route's flows.  */
struct bl_split
{
  struct bl_name service;
  uint64_t service_hash;
  uint32_t weight;
};

/* Route for an address and port that callers connect to.  */
struct bl_route_entry
{
  uint32_t ip;
  uint16_t port;
  bool repeatable;  /* requests are idempotent, so they may be retried */
  uint8_t priority; /* 0 is served first */
  uint32_t target_latency_ms; /* intended latency of answers */
  uint32_t deadline_ms;       /* time after which callers discard an answer */
  size_t split_count;
  struct bl_split *splits; /* owned */
  /* Hashes of the services that earlier versions of the route led to, the
     latest first.  Flows that are still open may be there.  */
  size_t former_count;
  uint64_t *former; /* owned */
};

/* All routes of one configuration version.  */
struct bl_route_table
{
  uint64_t version;
  uint32_t idle_ms; /* idle time after which a flow may be dropped */
  size_t count;
  struct bl_route_entry *routes; /* owned; sorted by bl_route_table_sort */
  /* Routes that are there but cannot be read, by their address and port.  */
  size_t unreadable_count;
  struct bl_addr *unreadable; /* owned; room for as many as ROUTES */
};

/* Creates an empty table with room for CAP routes, readable or not.  */
struct bl_route_table *bl_route_table_new (size_t cap);
void bl_route_table_free (struct bl_route_table *table);
/* Adds a service to ROUTE.  Returns BL_OK or BL_ENOMEM.  */
int bl_route_add_split (struct bl_route_entry *route,
                        const struct bl_name *service,
                        uint32_t weight);
/* Releases what a route owns that is not part of a table.  */
void bl_route_clear (struct bl_route_entry *route);
/* Sorts the routes by address and port.  Call once, after all were added.  */
void bl_route_table_sort (struct bl_route_table *table);
/* Adds those routes of REPLACED to TABLE that are there but cannot be read: a
   route that cannot be read is kept as it was.  Stores their number in *KEPT.
   Returns BL_OK or BL_ENOMEM.  */
int bl_route_table_keep_unreadable (struct bl_route_table *table,
                                    const struct bl_route_table *replaced,
                                    size_t *kept);
/* Sets the former services of each route in TABLE from the table that TABLE
   replaces.  Call after bl_route_table_sort.  Returns BL_OK or BL_ENOMEM.  */
int bl_route_table_set_former (struct bl_route_table *table,
                               const struct bl_route_table *replaced);
/* Returns the route of an address and port, or NULL.  */
const struct bl_route_entry *bl_route_table_find (
    const struct bl_route_table *table, uint32_t ip, uint16_t port);
/* Chooses the service of a new flow by its hash and the weights, so that every
   balancer chooses the same.  Returns NULL if the route has no services.  */
const struct bl_split *
bl_route_choose_split (const struct bl_route_entry *route, uint64_t flow_hash);

#endif
