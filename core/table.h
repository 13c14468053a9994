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
struct bl_table_route
{
  uint32_t ip;
  uint16_t port;
  bool repeatable;      /* its requests may run more than once */
  uint8_t priority;     /* 0 is served first */
  uint32_t target_ms;   /* answers are wanted within this */
  uint32_t deadline_ms; /* answers are of no use after this */
  struct bl_name name;
  size_t split_count;
  struct bl_split splits[BL_SPLIT_MAX];
};

/* All routes of one version.  */
struct bl_table
{
  uint64_t version;
  uint32_t idle_ms; /* flows silent for longer may be forgotten */
  size_t count;
  struct bl_table_route *routes; /* owned; sorted by bl_table_sort */
};

struct bl_table *bl_table_new (size_t cap);
void bl_table_free (struct bl_table *table);
/* To be called once after all routes are in place.  */
void bl_table_sort (struct bl_table *table);
/* The route of an address and port, or NULL.  */
const struct bl_table_route *
bl_table_find (const struct bl_table *table, uint32_t ip, uint16_t port);
/* Which of its services a new flow goes to; the same for every balancer.  */
const struct bl_split *bl_table_split (const struct bl_table_route *route,
                                       uint64_t flow_hash);

#endif
