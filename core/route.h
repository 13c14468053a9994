/* route.h -- backend servers by service, at a balancer  */

#ifndef BL_ROUTE_H
#define BL_ROUTE_H

#include "core/store.h"

#include <uthash.h>

struct bl_service_pool
{
  struct bl_name service;
  bool dirty;
  size_t id_count;
  size_t id_cap;
  struct bl_name *ids; /* owned; of records that name the service */
  struct bl_pool pool;
  UT_hash_handle hh;
};

struct bl_service_pools
{
  struct bl_service_pool *table;
  struct bl_names lost; /* data centres without balancers */
};

/* Notes that RECORD, a backend server, is new or changed.  */
int bl_service_pools_add (struct bl_service_pools *routes,
                          const struct bl_record *record);
/* Notes that the configuration of a service changed.  */
void bl_service_pools_invalidate (struct bl_service_pools *routes,
                                  const struct bl_name *service);
/* Notes which data centres have no balancers.  */
void bl_service_pools_set_lost (struct bl_service_pools *routes,
                                const struct bl_names *lost);
/* The route of a service with its pool up to date; NULL when no backend
   server ever named it.  */
struct bl_service_pool *bl_service_pools_get (struct bl_service_pools *routes,
                                              const struct bl_store *store,
                                              const struct bl_service *service);
void bl_service_pools_clear (struct bl_service_pools *routes);

#endif
