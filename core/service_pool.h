/* service_pool.h -- pools of candidates by service, at a balancer  */

#ifndef BL_SERVICE_POOL_H
#define BL_SERVICE_POOL_H

#include "core/store.h"

#include <uthash.h>

/* The backend servers of a service.  */
struct bl_service_pool
{
  struct bl_name service;
  bool dirty; /* POOL must be rebuilt */
  size_t id_count;
  size_t id_cap;
  struct bl_name *ids; /* owned; records that name or named the service */
  struct bl_pool pool;
  UT_hash_handle hh;
};

struct bl_service_pools
{
  struct bl_service_pool *table;         /* owned; by name of the service */
  struct bl_names dcs_without_balancers; /* data centres */
};

/* Adds RECORD, a new or changed backend server, to its service.  */
int bl_service_pools_add (struct bl_service_pools *pools,
                          const struct bl_record *record);
/* Marks the pool of a service for a rebuild after a change of its
   configuration.  */
void bl_service_pools_invalidate (struct bl_service_pools *pools,
                                  const struct bl_name *service);
/* Sets the data centres that have no balancers.  */
void bl_service_pools_set_dcs_without_balancers (
    struct bl_service_pools *pools,
    const struct bl_names *dcs_without_balancers);
/* Returns the backend servers of a service, with an up-to-date pool; NULL if no
   record ever named the service.  */
struct bl_service_pool *bl_service_pools_get (struct bl_service_pools *pools,
                                              const struct bl_store *store,
                                              const struct bl_service *service);
void bl_service_pools_clear (struct bl_service_pools *pools);

#endif
