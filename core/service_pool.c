/* service_pool.c -- pools of candidates by service, at a balancer

   A pool is rebuilt when it is next used, so that a burst of changes costs one
   rebuild for each service in use.  A backend server whose instance now serves
   another service stays in the list of ids, though not in the pool: agents that
   still hold it under the old service must receive its new record.  */

#include "core/service_pool.h"

#include <stdlib.h>
#include <string.h>

static struct bl_service_pool *
find_pool (const struct bl_service_pools *pools, const struct bl_name *service)
{
  struct bl_service_pool *entry;
  HASH_FIND (hh, pools->table, service, sizeof *service, entry);
  return entry;
}

static bool
has_id (const struct bl_service_pool *entry, const struct bl_name *id)
{
  for (size_t i = 0; i < entry->id_count; i++)
    if (bl_name_equal (&entry->ids[i], id))
      return true;
  return false;
}

static int
add_id (struct bl_service_pool *entry, const struct bl_name *id)
{
  if (entry->id_count == entry->id_cap)
    {
      size_t cap = entry->id_cap > 0 ? entry->id_cap * 2 : 4;
      struct bl_name *ids = realloc (entry->ids, cap * sizeof *ids);
      if (ids == NULL)
        return BL_ENOMEM;
      entry->ids = ids;
      entry->id_cap = cap;
    }
  entry->ids[entry->id_count++] = *id;
  return BL_OK;
}

int
bl_service_pools_add (struct bl_service_pools *pools,
                      const struct bl_record *record)
{
  struct bl_service_pool *entry = find_pool (pools, &record->service);

  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return BL_ENOMEM;
      entry->service = record->service;
      HASH_ADD (hh, pools->table, service, sizeof entry->service, entry);
    }
  entry->dirty = true;
  if (has_id (entry, &record->id))
    return BL_OK;
  return add_id (entry, &record->id);
}

void
bl_service_pools_invalidate (struct bl_service_pools *pools,
                             const struct bl_name *service)
{
  struct bl_service_pool *entry = find_pool (pools, service);

  if (entry != NULL)
    entry->dirty = true;
}

void
bl_service_pools_set_dcs_without_balancers (
    struct bl_service_pools *pools,
    const struct bl_names *dcs_without_balancers)
{
  struct bl_service_pool *entry;
  struct bl_service_pool *next;

  if (memcmp (&pools->dcs_without_balancers, dcs_without_balancers,
              sizeof *dcs_without_balancers)
      == 0)
    return;
  pools->dcs_without_balancers = *dcs_without_balancers;
  HASH_ITER (hh, pools->table, entry, next) { entry->dirty = true; }
}

static void
rebuild (struct bl_service_pool *entry,
         const struct bl_store *store,
         const struct bl_service *service,
         const struct bl_names *dcs_without_balancers)
{
  size_t kept = 0;

  bl_pool_clear (&entry->pool);
  for (size_t i = 0; i < entry->id_count; i++)
    {
      const struct bl_record *r
          = bl_store_get (store, BL_KIND_BACKEND, &entry->ids[i]);
      if (r == NULL)
        continue;
      entry->ids[kept++] = entry->ids[i];
      bl_pool_add (&entry->pool, service, r, dcs_without_balancers);
    }
  bl_pool_finish (&entry->pool);
  entry->id_count = kept;
  entry->dirty = false;
}

struct bl_service_pool *
bl_service_pools_get (struct bl_service_pools *pools,
                      const struct bl_store *store,
                      const struct bl_service *service)
{
  struct bl_service_pool *entry = find_pool (pools, &service->name);

  if (entry != NULL && entry->dirty)
    rebuild (entry, store, service, &pools->dcs_without_balancers);
  return entry;
}

void
bl_service_pools_clear (struct bl_service_pools *pools)
{
  struct bl_service_pool *entry;
  struct bl_service_pool *next;

  HASH_ITER (hh, pools->table, entry, next)
  {
    HASH_DEL (pools->table, entry);
    bl_pool_free (&entry->pool);
    free (entry->ids);
    free (entry);
  }
}
