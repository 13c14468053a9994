/* route_table.c -- route table: maps an address and port to services

   Routes are kept in a sorted array and found by binary search: a table is
   loaded seldom and searched for every packet.  */

#include "core/route_table.h"

#include <stdlib.h>

struct bl_route_table *
bl_route_table_new (size_t cap)
{
  struct bl_route_table *table = calloc (1, sizeof *table);

  if (table == NULL)
    return NULL;
  table->routes = calloc (cap + 1, sizeof *table->routes);
  if (table->routes == NULL)
    {
      free (table);
      return NULL;
    }
  return table;
}

void
bl_route_table_free (struct bl_route_table *table)
{
  if (table == NULL)
    return;
  free (table->routes);
  free (table);
}

static int
compare_routes (const void *a, const void *b)
{
  const struct bl_route_entry *x = a;
  const struct bl_route_entry *y = b;

  if (x->ip != y->ip)
    return x->ip < y->ip ? -1 : 1;
  return (int)x->port - (int)y->port;
}

void
bl_route_table_sort (struct bl_route_table *table)
{
  qsort (table->routes, table->count, sizeof *table->routes, compare_routes);
}

const struct bl_route_entry *
bl_route_table_find (const struct bl_route_table *table,
                     uint32_t ip,
                     uint16_t port)
{
  struct bl_route_entry key = { .ip = ip, .port = port };

  if (table == NULL)
    return NULL;
  return bsearch (&key, table->routes, table->count, sizeof key,
                  compare_routes);
}

const struct bl_split *
bl_route_choose_split (const struct bl_route_entry *route, uint64_t flow_hash)
{
  uint64_t total = 0;
  uint64_t point;

  for (size_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (total == 0)
    return route->split_count > 0 ? &route->splits[0] : NULL;
  point = flow_hash % total;
  for (size_t i = 0; i < route->split_count; i++)
    {
      if (point < route->splits[i].weight)
        return &route->splits[i];
      point -= route->splits[i].weight;
    }
  return &route->splits[0];
}
