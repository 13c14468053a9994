/* route.c -- backend servers by service, at a balancer

   A pool is rebuilt when it is next needed, so a burst of changes costs one
   rebuild per service in use.  A backend server whose instance now serves
   another service stays listed, though not in the pool: agents that still know
   it under the old one must get its new record.  */

#include "core/route.h"

#include <stdlib.h>
#include <string.h>

static struct bl_service_pool *
find_route (const struct bl_service_pools *routes,
            const struct bl_name *service)
{
  struct bl_service_pool *route;
  HASH_FIND (hh, routes->table, service, sizeof *service, route);
  return route;
}

static bool
has_id (const struct bl_service_pool *route, const struct bl_name *id)
{
  for (size_t i = 0; i < route->id_count; i++)
    if (bl_name_equal (&route->ids[i], id))
      return true;
  return false;
}

static int
add_id (struct bl_service_pool *route, const struct bl_name *id)
{
  if (route->id_count == route->id_cap)
    {
      size_t cap = route->id_cap > 0 ? route->id_cap * 2 : 4;
      struct bl_name *ids = realloc (route->ids, cap * sizeof *ids);
      if (ids == NULL)
        return BL_ENOMEM;
      route->ids = ids;
      route->id_cap = cap;
    }
  route->ids[route->id_count++] = *id;
  return BL_OK;
}

int
bl_service_pools_add (struct bl_service_pools *routes,
                      const struct bl_record *record)
{
  struct bl_service_pool *route = find_route (routes, &record->service);

  if (route == NULL)
    {
      route = calloc (1, sizeof *route);
      if (route == NULL)
        return BL_ENOMEM;
      route->service = record->service;
      HASH_ADD (hh, routes->table, service, sizeof route->service, route);
    }
  route->dirty = true;
  if (has_id (route, &record->id))
    return BL_OK;
  return add_id (route, &record->id);
}

void
bl_service_pools_invalidate (struct bl_service_pools *routes,
                             const struct bl_name *service)
{
  struct bl_service_pool *route = find_route (routes, service);

  if (route != NULL)
    route->dirty = true;
}

void
bl_service_pools_set_lost (struct bl_service_pools *routes,
                           const struct bl_names *lost)
{
  struct bl_service_pool *route;
  struct bl_service_pool *next;

  if (memcmp (&routes->lost, lost, sizeof *lost) == 0)
    return;
  routes->lost = *lost;
  HASH_ITER (hh, routes->table, route, next) { route->dirty = true; }
}

static void
rebuild (struct bl_service_pool *route,
         const struct bl_store *store,
         const struct bl_service *service,
         const struct bl_names *lost)
{
  size_t kept = 0;

  bl_pool_clear (&route->pool);
  for (size_t i = 0; i < route->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (store, BL_KIND_BACKEND, &route->ids[i]);
      if (r == NULL)
        continue;
      route->ids[kept++] = route->ids[i];
      bl_pool_add (&route->pool, service, r, lost);
    }
  bl_pool_finish (&route->pool);
  route->id_count = kept;
  route->dirty = false;
}

struct bl_service_pool *
bl_service_pools_get (struct bl_service_pools *routes,
                      const struct bl_store *store,
                      const struct bl_service *service)
{
  struct bl_service_pool *route = find_route (routes, &service->name);

  if (route != NULL && route->dirty)
    rebuild (route, store, service, &routes->lost);
  return route;
}

void
bl_service_pools_clear (struct bl_service_pools *routes)
{
  struct bl_service_pool *route;
  struct bl_service_pool *next;

  HASH_ITER (hh, routes->table, route, next)
  {
    HASH_DEL (routes->table, route);
    bl_pool_free (&route->pool);
    free (route->ids);
    free (route);
  }
}
