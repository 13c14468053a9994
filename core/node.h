/* node.h -- the inside of a balancer, shared by its modules  */

#ifndef BL_NODE_H
#define BL_NODE_H

#include "core/msg.h"
#include "core/route.h"
#include "core/store.h"

#define BL_KEEPERS       2  /* balancers that an agent announces itself to */
#define BL_RELAYS        2  /* balancers of a data centre that watch */
#define BL_NEWS_FANOUT   4  /* peers that a piece of news is sent to at once */
#define BL_CONFIG_ROUNDS 1  /* and for a change of configuration */
#define BL_CONFIG_ROUNDS 1  /* and for a change of configuration */
#define BL_PROXIES_MAX   16 /* pings under way for others */
#define BL_SUSPECTS_MAX  64 /* suspicions with a running deadline */
#define BL_AWARENESS_MAX 8

/* A member as the choosers of peers, keepers and relays see it.  */
struct bl_member
{
  uint64_t hash;
  bool local; /* of this node's data centre */
  bool alive; /* neither suspect nor gone */
  bool keeps; /* may keep agents: neither leaving nor gone */
  struct bl_name id;
  struct bl_name dc;
  struct bl_addr control;
  struct bl_addr bulk;
};

struct bl_probe
{
  bool active;
  bool indirect; /* others were asked to ping too */
  uint64_t seq;
  uint64_t sent_ms;
  struct bl_name id;
};

/* A ping sent for somebody else.  */
struct bl_proxy
{
  uint64_t seq;
  uint64_t their_seq;
  struct bl_addr requester;
};

struct bl_suspect
{
  struct bl_name id;
  uint64_t incarnation;
  uint32_t seq;
  uint64_t deadline_ms;
};

/* An agent that announces itself here.  */
struct bl_kept
{
  struct bl_name id;
  uint64_t heard_ms;      /* or taken up, or heard of from another keeper */
  uint64_t spoke_ms;      /* of its last announcement here; 0: none */
  unsigned checks;        /* times that it was asked after */
  uint64_t applied;       /* version of its service that the agent has */
  uint64_t told;          /* digest of its service that it was told last */
  uint64_t keepers_known; /* digest of the keepers that it named last */
  uint32_t flows;
  UT_hash_handle hh;
};

struct bl_node
{
  struct bl_node_settings settings;
  struct bl_node_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now;
  uint64_t last_tick_ms;
  struct bl_record self;
  struct bl_store *store;
  struct bl_config *config;
  struct bl_service_pools routes;
  /* Members, rebuilt when a member's record changes.  */
  bool members_dirty;
  size_t member_count;
  size_t member_cap;
  struct bl_member *members; /* owned; without this node */
  struct bl_names live_dcs;  /* data centres with balancers that keep */
  bool relay;
  bool keepers_dirty;
  /* Failure detection.  */
  uint64_t next_seq;
  uint64_t next_probe_ms;
  uint64_t next_rejoin_ms;
  uint32_t probe_at; /* position in the shuffled order */
  struct bl_probe probe;
  uint64_t heard_ms;       /* when any message last came */
  struct bl_name troubled; /* data centre with a fresh suspicion */
  uint64_t troubled_until_ms;
  unsigned awareness; /* 0: this node trusts its own clock and network */
  struct bl_proxy proxies[BL_PROXIES_MAX];
  unsigned proxy_at;
  size_t suspect_count;
  struct bl_suspect suspects[BL_SUSPECTS_MAX];
  /* Agents.  */
  struct bl_kept *kept;
  uint64_t told_generation; /* of the store, when agents were last told */
  uint64_t told_version;    /* of the configuration, likewise */
  uint64_t next_keep_ms;
  /* Spreading of configuration.  */
  unsigned config_transmits;
  uint64_t config_sent_from;
  uint64_t next_pull_ms;
  uint64_t next_config_pull_ms;
  uint64_t quiet_generation; /* of the store, when it last changed */
  uint64_t quiet_since_ms;
  uint64_t differs_since_ms; /* from the digest of some peer; 0: not */
  uint64_t started_ms;
  bool synced;
  uint64_t next_expire_ms;
  struct bl_buffer buffer;
  struct bl_buffer reply;
  uint64_t counters[BL_NODE_COUNTERS];
};

/* node.c */
void bl_node_send (struct bl_node *node, struct bl_addr to, struct bl_msg *msg);
/* Takes a record in, refutes what is said wrongly of this node, and marks
   what depends on it.  */
void bl_node_put (struct bl_node *node,
                  const struct bl_record *record,
                  unsigned transmits);
/* How many rounds a record is pushed in.  */
unsigned bl_node_news_rounds (const struct bl_node *node);

/* node_members.c */
/* The member of this name, or NULL.  */
const struct bl_member *bl_node_member (struct bl_node *node,
                                        const struct bl_name *id);
/* Makes the list of members and all that follows from it anew, if need be.  */
void bl_node_refresh_members (struct bl_node *node);

/* node_detect.c */
void bl_detect_tick (struct bl_node *node);
void bl_detect_on_ping (struct bl_node *node,
                        struct bl_addr from,
                        const struct bl_msg *msg);
/* Tells a peer who this node is.  */
void bl_detect_introduce (struct bl_node *node, struct bl_addr to);
void bl_detect_on_ack (struct bl_node *node, const struct bl_msg *msg);
void bl_detect_on_ping_req (struct bl_node *node,
                            struct bl_addr from,
                            const struct bl_msg *msg);
void bl_detect_note_suspect (struct bl_node *node,
                             const struct bl_record *record);
/* This node was away for GAP_MS: what it did not hear proves nothing.  */
void bl_detect_on_pause (struct bl_node *node, uint64_t gap_ms);

/* node_keep.c */
void bl_keep_tick (struct bl_node *node);
void bl_keep_on_announce (struct bl_node *node,
                          struct bl_addr from,
                          const struct bl_msg *msg);
bool bl_keep_heard (const struct bl_node *node, const struct bl_name *id);
bool bl_keep_on_ack (struct bl_node *node, const struct bl_msg *msg);
void bl_keep_clear (struct bl_node *node);
/* Writes the keepers of an agent, best first; a NULL stands for this node.
   Returns how many.  */
size_t bl_keep_choose (struct bl_node *node,
                       const struct bl_name *dc,
                       const struct bl_name *id,
                       const struct bl_member **out);
/* The lost data centres that the backend servers of ROUTE are in.  */
void bl_keep_lost_of (const struct bl_node *node,
                      const struct bl_service_pool *route,
                      struct bl_names *lost);
/* Whether this node is among the first COUNT of the members of its data
   centre, itself included, by the hash of KEY.  */
bool bl_keep_is_among (struct bl_node *node, const char *key, size_t count);

/* node_spread.c */
void bl_spread_tick (struct bl_node *node);
/* Fills in the version and digest by which nodes compare.  */
void bl_spread_fill (struct bl_node *node, struct bl_msg *msg);
/* Looks at version and digest of a peer, and pulls what is missing.  */
void bl_spread_compare (struct bl_node *node, const struct bl_msg *msg);
void bl_spread_on_records (struct bl_node *node, const struct bl_msg *msg);
void bl_spread_on_config (struct bl_node *node, const struct bl_msg *msg);
const uint8_t *bl_spread_answer (struct bl_node *node,
                                 const struct bl_msg *request,
                                 size_t *reply_len);
#define BL_NEWS_RECORDS 8 /* records in one push; they fit a datagram */

#endif
