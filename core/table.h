/* table.h -- which service takes the flows of an address and port  */

#ifndef BL_TABLE_H
#define BL_TABLE_H

#include "boragelatch.h"

#define BL_SPLIT_MAX 8 /* services among which one route divides its flows */

struct bl_split
{
  struct bl_name service;
  uint64_t service_hash;
  uint32_t weight;
};

/* One address and port that callers use.  */
struct bl_route_entry
{
  uint32_t ip;
  uint16_t port;
  bool repeatable;            /* its requests may run more than once */
  uint8_t priority;           /* 0 is served first */
  uint32_t target_latency_ms; /* answers are wanted within this */
  uint32_t deadline_ms;       /* answers are of no use after this */
  struct bl_name name;
  size_t split_count;
  struct bl_split splits[BL_SPLIT_MAX];
};

/* All routes of one version.  */
struct bl_route_table
{
  uint64_t version;
  uint32_t idle_ms; /* flows silent for longer may be forgotten */
  size_t count;
  struct bl_route_entry *routes; /* owned; sorted by bl_route_table_sort */
};

struct bl_route_table *bl_route_table_new (size_t cap);
void bl_route_table_free (struct bl_route_table *table);
/* To be called once after all routes are in place.  */
void bl_route_table_sort (struct bl_route_table *table);
/* The route of an address and port, or NULL.  */
const struct bl_route_entry *bl_route_table_find (
    const struct bl_route_table *table, uint32_t ip, uint16_t port);
/* Which of its services a new flow goes to; the same for every balancer.  */
const struct bl_split *
bl_route_choose_split (const struct bl_route_entry *route, uint64_t flow_hash);

#endif
