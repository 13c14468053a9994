/* node.h -- internal state of a balancer, shared by its modules

   A node is one balancer.  Members are the balancers of the region; an agent
   is monitored by a few of them.  */

#ifndef BL_NODE_H
#define BL_NODE_H

#include "core/msg.h"
#include "core/service_pool.h"
#include "core/store.h"

/* Balancers that an agent sends its announcements to.  */
#define BL_MONITORS_PER_AGENT 2
/* Balancers of a data centre that watch the platform's configuration.  */
#define BL_RELAYS_PER_DC 2
/* Members that an update is pushed to in one round.  */
#define BL_PUSH_FANOUT 4
/* Rounds in which a change of configuration is pushed.  */
#define BL_CONFIG_PUSH_ROUNDS 1
#define BL_CONFIG_PUSH_ROUNDS 1
/* Seed of bl_name_hash for the names of members in rendezvous hashing.  */
#define BL_MEMBER_HASH_SEED   0
#define BL_PROXIED_PINGS_MAX  16 /* pings in progress for other members */
#define BL_SUSPECTS_MAX       64 /* suspicions whose deadline is tracked */
#define BL_HEALTH_PENALTY_MAX 8

/* The parts of a member's record that the choice of probe targets, push
   targets, monitors and relays needs.  */
struct bl_member
{
  uint64_t hash;    /* of its name */
  bool local;       /* in the data centre of this balancer */
  bool alive;       /* not suspect */
  bool can_monitor; /* its state is ready or suspect */
  struct bl_name id;
  struct bl_name dc;
  struct bl_addr control;
  struct bl_addr bulk;
};

/* The failure detector's probe of one member.  */
struct bl_probe
{
  bool active;   /* neither acknowledged nor timed out */
  bool indirect; /* other members were requested to ping the target */
  uint64_t seq;  /* of the ping */
  uint64_t sent_ms;
  struct bl_name id; /* of the target */
};

/* A ping sent on behalf of another member, which gets the acknowledgement.  */
struct bl_proxied_ping
{
  uint64_t seq;           /* of the ping; 0: the entry is unused */
  uint64_t requester_seq; /* of the request, repeated in the answer */
  struct bl_addr requester;
};

/* A member's record that became suspect.  The member is declared dead at the
   deadline unless a newer record has replaced this one.  */
struct bl_suspect
{
  struct bl_name id;
  uint64_t incarnation;
  uint32_t seq;
  uint64_t deadline_ms;
};

/* An agent that this balancer monitors.  */
struct bl_monitored_agent
{
  struct bl_name id;
  /* Last announcement to this balancer, or report of another monitor that
     received an announcement; at first the start of monitoring.  */
  uint64_t last_alive_ms;
  uint64_t last_announce_ms; /* last announcement to this balancer; 0: none */
  unsigned probe_rounds;     /* sent since the agent was last found alive */
  uint64_t applied_version;  /* configuration version of the agent's service */
  uint64_t sent_view_digest; /* of the last notification of a change */
  uint64_t known_monitors_digest; /* of the monitors that the agent holds */
  uint32_t flows;                 /* open at the agent */
  UT_hash_handle hh;
};

struct bl_node
{
  struct bl_node_settings settings;
  struct bl_node_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now;          /* of the current call */
  uint64_t last_tick_ms; /* 0: none yet */
  struct bl_record self; /* this balancer's own record */
  struct bl_store *store;
  struct bl_config *config;
  struct bl_service_pools service_pools; /* candidates by service */
  /* Members.  The list is rebuilt when a member's record changes.  */
  bool members_dirty;
  size_t member_count;
  size_t member_cap;
  struct bl_member *members;     /* owned; without this balancer */
  struct bl_names monitored_dcs; /* with a balancer that can monitor agents */
  bool relay;                    /* this balancer watches the platform */
  bool monitors_dirty; /* the set of monitored agents must be recomputed */
  /* Failure detection.  */
  uint64_t last_seq; /* of the last ping or request sent */
  uint64_t next_probe_ms;
  uint64_t next_rejoin_ms;
  uint32_t next_probe_index; /* into the shuffled list of members */
  struct bl_probe probe;
  uint64_t last_message_ms;  /* last valid message from any sender */
  struct bl_name suspect_dc; /* remote data centre with a recent suspicion */
  uint64_t suspect_dc_until_ms;
  /* Time-outs are multiplied by one more than this; 0: the clock and the
     network of this balancer seem sound.  */
  unsigned health_penalty;
  struct bl_proxied_ping proxied_pings[BL_PROXIED_PINGS_MAX];
  unsigned next_proxied_ping; /* entry that is overwritten next */
  size_t suspect_count;
  struct bl_suspect suspects[BL_SUSPECTS_MAX];
  /* Monitoring of agents.  */
  struct bl_monitored_agent *monitored_agents; /* owned */
  /* Generation of the store and version of the configuration for which agents
     were last notified of changes.  */
  uint64_t notified_generation;
  uint64_t notified_config_version;
  uint64_t next_monitor_ms;
  /* Dissemination of records and configuration.  */
  unsigned config_pushes_left; /* rounds */
  uint64_t config_push_from;   /* version that the pushed change follows */
  uint64_t next_records_pull_ms;
  uint64_t next_config_pull_ms;
  uint64_t seen_generation; /* of the store, when digests last differed */
  uint64_t last_change_ms;  /* when that generation was first seen */
  uint64_t digest_differs_since_ms; /* 0: the last digest compared was equal */
  uint64_t started_ms;              /* of the first tick */
  bool synced; /* has caught up with its peers, or waited long enough */
  uint64_t next_expire_ms;
  struct bl_buffer buffer; /* message to be sent */
  struct bl_buffer reply;  /* reply to a pull */
  uint64_t counters[BL_NODE_COUNTERS];
};

/* node.c */
/* Encodes and sends MSG, with the sender filled in.  */
void bl_node_send (struct bl_node *node, struct bl_addr to, struct bl_msg *msg);
/* Stores RECORD if it replaces the record held, to be pushed in TRANSMITS
   rounds, and marks what depends on it for recomputation.  A record of this
   balancer that contradicts its own is refuted instead.  */
void bl_node_put (struct bl_node *node,
                  const struct bl_record *record,
                  unsigned transmits);
/* Returns the number of rounds in which a changed record is pushed.  */
unsigned bl_node_push_rounds (const struct bl_node *node);

/* node_members.c */
/* Returns the member named ID, or NULL; valid until the members change.  */
const struct bl_member *bl_node_find_member (struct bl_node *node,
                                             const struct bl_name *id);
/* Rebuilds the list of members and what is derived from it if a member's
   record has changed.  */
void bl_node_refresh_members (struct bl_node *node);

/* node_detect.c */
void bl_detect_tick (struct bl_node *node);
void bl_detect_on_ping (struct bl_node *node,
                        struct bl_addr from,
                        const struct bl_msg *msg);
/* Pings TO with this balancer's own record, which TO may not hold.  */
void bl_detect_introduce (struct bl_node *node, struct bl_addr to);
void bl_detect_on_ack (struct bl_node *node, const struct bl_msg *msg);
void bl_detect_on_ping_req (struct bl_node *node,
                            struct bl_addr from,
                            const struct bl_msg *msg);
/* Starts the deadline of a member whose RECORD is suspect.  */
void bl_detect_add_suspect (struct bl_node *node,
                            const struct bl_record *record);
/* To be called when this balancer did not run for GAP_MS: messages missing
   from that time are no evidence of failures.  */
void bl_detect_on_pause (struct bl_node *node, uint64_t gap_ms);

/* node_monitor.c */
void bl_monitor_tick (struct bl_node *node);
void bl_monitor_on_announce (struct bl_node *node,
                             struct bl_addr from,
                             const struct bl_msg *msg);
/* Returns true if the agent ID announced itself to this balancer within the
   time after which an agent counts as silent.  */
bool bl_monitor_has_recent_announce (const struct bl_node *node,
                                     const struct bl_name *id);
/* Handles the answer of another monitor about a silent agent.  Returns false
   when MSG acknowledges something else.  */
bool bl_monitor_on_ack (struct bl_node *node, const struct bl_msg *msg);
void bl_monitor_clear (struct bl_node *node);
/* Writes the monitors of the agent ID in data centre DC to OUT, which holds
   BL_MONITORS_PER_AGENT, best first; NULL stands for this balancer.  Returns
   their number.  */
size_t bl_monitor_choose (struct bl_node *node,
                          const struct bl_name *dc,
                          const struct bl_name *id,
                          const struct bl_member **out);
/* Sets DCS_WITHOUT_BALANCERS to those data centres without balancers that
   contain backend servers of SERVICE_POOL, which may be NULL.  */
void
bl_monitor_dcs_without_balancers (const struct bl_node *node,
                                  const struct bl_service_pool *service_pool,
                                  struct bl_names *dcs_without_balancers);
/* Returns true if rendezvous hashing of KEY ranks this balancer among the first
   COUNT of its data centre.  COUNT is at most BL_MONITORS_PER_AGENT +
   BL_RELAYS_PER_DC.  */
bool
bl_monitor_is_selected (struct bl_node *node, const char *key, size_t count);

/* node_spread.c */
void bl_spread_tick (struct bl_node *node);
/* Adds the configuration version and the digest of records to MSG, which its
   receiver compares with its own.  */
void bl_spread_add_versions (struct bl_node *node, struct bl_msg *msg);
/* Compares the configuration version and the digest of MSG with those of this
   balancer, and pulls what is missing here.  */
void bl_spread_compare (struct bl_node *node, const struct bl_msg *msg);
void bl_spread_on_records (struct bl_node *node, const struct bl_msg *msg);
void bl_spread_on_config (struct bl_node *node, const struct bl_msg *msg);
/* Returns the encoded reply to a pull, valid until the next one, and its
   length; NULL when REQUEST is no valid pull or memory ran out.  */
const uint8_t *bl_spread_answer_pull (struct bl_node *node,
                                      const struct bl_msg *request,
                                      size_t *reply_len);
#define BL_PUSH_RECORDS_MAX 8 /* in one push, so that it fits a datagram */

#endif
