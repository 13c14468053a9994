/* view.h -- an agent's copy of its service and of the service's backend servers

   The view holds the configuration of one service and the membership records
   of its backend servers.  From them it derives the pool of candidates for
   placement, and it holds the last load report of each candidate.  An agent
   pulls the view from its monitors, the balancers that it reports to; it
   detects by a digest that its view is out of date.  */

#ifndef BL_VIEW_H
#define BL_VIEW_H

#include "core/store.h"

/* The last load report of a peer, or of this agent itself.  */
struct bl_peer_load
{
  struct bl_name id;
  bool reported;                /* false: no report received yet */
  uint32_t load;                /* thousandths of a slot */
  uint32_t flows;               /* open at the peer */
  uint32_t placed_since_report; /* flows placed at the peer by this agent */
  uint32_t warm_up_share;       /* share of new flows that the peer takes while
                                   it warms up, in thousandths of its usual
                                   share */
};

struct bl_view
{
  struct bl_service *service; /* owned; NULL before the first pull */
  struct bl_store *store;     /* owned; records of the backend servers */
  uint64_t confirmed_ms;      /* when a monitor last reported an equal digest;
                                 0: never */
  /* Data centres of backend servers of the service that have no live
     balancer.  */
  struct bl_names dcs_without_balancers;
  struct bl_pool pool;
  size_t peer_count;
  struct bl_peer_load *peers; /* owned; parallel to the pool's items */
};

/* Computes the digest of a view from its parts: the service (may be NULL), the
   digest of the records of its backend servers, and those of their data
   centres that have no balancers.  Agent and monitor compare their digests.  */
uint64_t bl_view_compute_digest (const struct bl_service *service,
                                 uint64_t records_digest,
                                 const struct bl_names *dcs_without_balancers);
uint64_t bl_view_digest (const struct bl_view *view);
/* Returns the digest of a list of monitors.  A monitor sends an agent the list
   only when the digest that the agent announced differs.  */
uint64_t bl_monitors_digest (const struct bl_record *monitors, size_t count);

/* Returns BL_OK or BL_ENOMEM.  */
int bl_view_init (struct bl_view *view);
void bl_view_clear (struct bl_view *view);
/* Takes ownership of SERVICE.  It replaces the held service when it is newer
   and is freed otherwise.  */
void bl_view_set_service (struct bl_view *view, struct bl_service *service);
/* Rebuilds pool and peers; to be called after records or service changed.  */
void bl_view_rebuild (struct bl_view *view);
/* Finds a candidate by the name of its instance.  Returns NULL when there is
   none.  */
const struct bl_candidate *bl_view_find (const struct bl_view *view,
                                         const struct bl_name *id);
const struct bl_candidate *
bl_view_find_by_data_address (const struct bl_view *view, struct bl_addr data);
/* Finds the load report of a candidate.  Returns NULL when there is none.  */
struct bl_peer_load *bl_view_peer_load (struct bl_view *view,
                                        const struct bl_name *id);

#endif
