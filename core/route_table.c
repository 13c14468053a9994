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
  table->unreadable = calloc (cap + 1, sizeof *table->unreadable);
  if (table->routes != NULL && table->unreadable != NULL)
    return table;
  bl_route_table_free (table);
  return NULL;
}

int
bl_route_add_split (struct bl_route_entry *route,
                    const struct bl_name *service,
                    uint32_t weight)
{
  size_t size = (route->split_count + 1) * sizeof *route->splits;
  struct bl_split *splits = realloc (route->splits, size);

  if (splits == NULL)
    return BL_ENOMEM;
  route->splits = splits;
  splits[route->split_count++] = (struct bl_split){
    .service = *service,
    .service_hash = bl_name_hash (service, 0),
    .weight = weight,
  };
  return BL_OK;
}

void
bl_route_clear (struct bl_route_entry *route)
{
  free (route->splits);
  free (route->former);
  *route = (struct bl_route_entry){ .ip = 0 };
}

void
bl_route_table_free (struct bl_route_table *table)
{
  if (table == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    bl_route_clear (&table->routes[i]);
  free (table->routes);
  free (table->unreadable);
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

/* Copies a route, without its former services.  */
static int
copy_route (struct bl_route_entry *out, const struct bl_route_entry *route)
{
  int err = BL_OK;

  *out = *route;
  out->split_count = 0;
  out->splits = NULL;
  out->former_count = 0;
  out->former = NULL;
  for (size_t i = 0; i < route->split_count && err == BL_OK; i++)
    err = bl_route_add_split (out, &route->splits[i].service,
                              route->splits[i].weight);
  if (err != BL_OK)
    bl_route_clear (out);
  return err;
}

int
bl_route_table_keep_unreadable (struct bl_route_table *table,
                                const struct bl_route_table *replaced,
                                size_t *kept)
{
  int err = BL_OK;

  *kept = 0;
  for (size_t i = 0; i < table->unreadable_count && err == BL_OK; i++)
    {
      struct bl_addr addr = table->unreadable[i];
      const struct bl_route_entry *before
          = bl_route_table_find (replaced, addr.ip, addr.port);
      if (before == NULL
          || bl_route_table_find (table, addr.ip, addr.port) != NULL)
        continue;
      err = copy_route (&table->routes[table->count], before);
      if (err != BL_OK)
        break;
      table->count++;
      ++*kept;
      bl_route_table_sort (table);
    }
  return err;
}

static bool
leads_to (const struct bl_route_entry *route, uint64_t service)
{
  for (size_t i = 0; i < route->split_count; i++)
    if (route->splits[i].service_hash == service)
      return true;
  for (size_t i = 0; i < route->former_count; i++)
    if (route->former[i] == service)
      return true;
  return false;
}

static void
add_former (struct bl_route_entry *route, uint64_t service)
{
  if (route->former_count < BL_FORMER_MAX && !leads_to (route, service))
    route->former[route->former_count++] = service;
}

/* Sets the former services of ROUTE from BEFORE, which it replaces.  */
static int
set_former (struct bl_route_entry *route, const struct bl_route_entry *before)
{
  size_t max = before->split_count + before->former_count;

  if (max > BL_FORMER_MAX)
    max = BL_FORMER_MAX;
  route->former = calloc (max + 1, sizeof *route->former);
  if (route->former == NULL)
    return BL_ENOMEM;
  for (size_t k = 0; k < before->split_count; k++)
    add_former (route, before->splits[k].service_hash);
  for (size_t k = 0; k < before->former_count; k++)
    add_former (route, before->former[k]);
  return BL_OK;
}

int
bl_route_table_set_former (struct bl_route_table *table,
                           const struct bl_route_table *replaced)
{
  int err = BL_OK;

  for (size_t i = 0; i < table->count && err == BL_OK; i++)
    {
      struct bl_route_entry *route = &table->routes[i];
      const struct bl_route_entry *before
          = bl_route_table_find (replaced, route->ip, route->port);
      if (before != NULL)
        err = set_former (route, before);
    }
  return err;
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
