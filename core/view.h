/* view.h -- what an agent knows of its service and its peers  */

#ifndef BL_VIEW_H
#define BL_VIEW_H

#include "core/store.h"

/* What a peer last said of its load, or this agent of its own.  */
struct bl_peer_load
{
  struct bl_name id;
  bool known;
  uint32_t load;   /* thousandths of a slot */
  uint32_t flows;  /* open */
  uint32_t placed; /* flows placed there since */
  uint32_t ramp;   /* thousandths of its usual share that it takes */
};

struct bl_view
{
  struct bl_service *service; /* owned; NULL before the first pull */
  struct bl_store *store;     /* owned; backend servers of the service */
  uint64_t confirmed_ms;      /* when a keeper last had the same digest */
  struct bl_names lost;       /* data centres without balancers */
  struct bl_pool pool;
  size_t peer_count;
  struct bl_peer_load *peers; /* owned; parallel to the pool's items */
};

/* Digest of a service, the live records of its backend servers, and which of
   their data centres are lost.  */
uint64_t bl_view_compute_digest (const struct bl_service *service,
                                 uint64_t records_digest,
                                 const struct bl_names *lost);
uint64_t bl_view_digest (const struct bl_view *view);
/* Digest of a list of keepers, by which agent and keeper compare them.  */
uint64_t bl_monitors_digest (const struct bl_record *keepers, size_t count);

int bl_view_init (struct bl_view *view);
void bl_view_clear (struct bl_view *view);
/* Takes a newer service; frees it when it is not newer.  */
void bl_view_set_service (struct bl_view *view, struct bl_service *service);
/* Rebuilds pool and peers after records or service changed.  */
void bl_view_rebuild (struct bl_view *view);
/* The candidate with this name, or NULL.  */
const struct bl_candidate *bl_view_find (const struct bl_view *view,
                                         const struct bl_name *id);
const struct bl_candidate *
bl_view_find_by_data_address (const struct bl_view *view, struct bl_addr data);
struct bl_peer_load *bl_view_peer_load (struct bl_view *view,
                                        const struct bl_name *id);

#endif
