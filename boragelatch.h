/* boragelatch.h -- public interface of the boragelatch core

   The core decides and does nothing else: it opens no socket, reads no
   clock, draws no random number from the system and writes no file.  Time is
   passed in as `now`, in milliseconds of any steady clock; randomness comes
   from seeds; bytes come in as buffers and leave through the operations that
   the caller supplied.  The same inputs give the same outputs.

   Return codes: functions that can fail return 0 on success and a negative
   BL_E* code otherwise, and touch nothing on failure.  No function keeps a
   pointer to its arguments unless its comment says so.  The core is not
   thread-safe; one lock round an object is enough.  */

#ifndef BORAGELATCH_H
#define BORAGELATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BL_VERSION "0.2.0"

/* -- errors -- */

enum bl_error
{
  BL_OK = 0,
  BL_ESHORT = -1,    /* input ends before its stated length */
  BL_EVERSION = -2,  /* a message of another protocol version */
  BL_ECHECKSUM = -3, /* an IP or TCP checksum does not match */
  BL_EFORMAT = -4,   /* input is not of the expected shape */
  BL_ERANGE = -5,    /* a value lies outside its bounds */
  BL_ENOTFOUND = -6, /* the named thing does not exist */
  BL_ESTALE = -7,    /* older than what is held already */
  BL_ENOMEM = -8,    /* memory ran out, or a bound on a table is reached */
  BL_ECONFLICT = -9, /* somebody else changed it first */
};

/* Returns a short lower-case description of a code; never NULL.  */
const char *bl_strerror (int code);

#define BL_FINDING_PLACE_MAX 96
#define BL_FINDING_TEXT_MAX  192
#define BL_FINDINGS_MAX      64

/* One thing found wrong with an input, and where it was found.  */
struct bl_finding
{
  char place[BL_FINDING_PLACE_MAX];
  char text[BL_FINDING_TEXT_MAX];
};

/* Findings of one check, reported together.  Zero-initialise before use;
   holds no allocation.  More than BL_FINDINGS_MAX are counted, not kept.  */
struct bl_findings
{
  size_t count; /* found in all, also those beyond the table */
  struct bl_finding items[BL_FINDINGS_MAX];
};

/* Adds a finding; FORMAT is as for printf.  */
void bl_findings_add (struct bl_findings *f,
                      const char *place,
                      const char *format,
                      ...) __attribute__ ((format (printf, 3, 4)));

/* -- strings and addresses -- */

/* A length-counted string that belongs to somebody else.  */
struct bl_str
{
  const char *ptr;
  size_t len;
};

#define BL_NAME_MAX 47

/* A length-counted name held in place; bytes past LEN are zero, so that two
   names are equal when their memory is.  */
struct bl_name
{
  uint8_t len;
  char s[BL_NAME_MAX + 1];
};

/* Makes a name.  BL_ERANGE when it is empty, too long, or holds a character
   other than letters, digits, '-', '_' and '.'.  */
int bl_name_set (struct bl_name *name, struct bl_str text);
struct bl_str bl_str_of (const char *text);
bool bl_name_equal (const struct bl_name *a, const struct bl_name *b);
uint64_t bl_name_hash (const struct bl_name *name, uint64_t seed);

/* An IPv4 address and port, both in host byte order.  */
struct bl_addr
{
  uint32_t ip;
  uint16_t port;
};

#define BL_ADDR_TEXT_MAX 24

/* Parses "1.2.3.4:5".  BL_EFORMAT when it is anything else.  */
int bl_addr_parse (struct bl_addr *addr, struct bl_str text);
/* Parses "1.2.3.4".  BL_EFORMAT when it is anything else.  */
int bl_ip_parse (uint32_t *ip, struct bl_str text);
/* Writes ADDR into BUF, which holds BL_ADDR_TEXT_MAX bytes; returns BUF.  */
char *bl_addr_format (struct bl_addr addr, char *buf);
bool bl_addr_equal (struct bl_addr a, struct bl_addr b);

/* -- random numbers from a seed -- */

struct bl_random
{
  uint64_t state;
};

uint64_t bl_random_next (struct bl_random *r);
/* A number in [0, bound); 0 when BOUND is 0.  */
uint32_t bl_random_below (struct bl_random *r, uint32_t bound);
/* A number in [0, 1).  */
double bl_random_unit (struct bl_random *r);

/* -- packets -- */

#define BL_TCP_FIN 0x01
#define BL_TCP_SYN 0x02
#define BL_TCP_RST 0x04
#define BL_TCP_ACK 0x10

#define BL_PACKET_MAX 2048 /* bytes of an IPv4 packet that is carried */

/* The 4-tuple of a flow, from the caller's side; the protocol is TCP.  */
struct bl_flow_key
{
  uint32_t src_ip;
  uint32_t dst_ip;
  uint16_t src_port;
  uint16_t dst_port;
};

/* The parts of an IPv4 TCP packet that decisions need.  */
struct bl_packet
{
  struct bl_flow_key key;
  uint32_t seq;
  uint32_t ack;
  uint8_t flags;
  uint16_t payload_len; /* bytes */
};

/* Reads an IPv4 packet that holds one whole TCP segment and verifies both
   checksums.  BL_ESHORT, BL_EFORMAT (not IPv4, not TCP, a fragment, lengths
   that disagree), BL_ECHECKSUM.  */
int bl_packet_parse (struct bl_packet *packet, const uint8_t *buf, size_t len);

#define BL_RESET_LEN 40 /* bytes of a reset: both headers, no options */

/* Writes the reset that answers PACKET into BUF (BL_RESET_LEN bytes), as a
   host without the connection would (RFC 9293, 3.10.7.1).  Returns its
   length, or 0 when PACKET is itself a reset and must not be answered.  */
size_t bl_packet_reset (const struct bl_packet *packet, uint8_t *buf);

/* Writes an acknowledgement without data that tells the caller of PACKET what
   is expected: SEQ and ACK are the sender's.  BUF and result as above.  */
size_t bl_packet_challenge_ack (const struct bl_packet *packet,
                                uint32_t seq,
                                uint32_t ack,
                                uint8_t *buf);

/* Adds to the sequence number and, in a packet with ACK, to the
   acknowledgement number, and mends the checksum.  BUF holds a packet that
   bl_packet_parse has taken.  */
void bl_packet_adjust_seq (uint8_t *buf, uint32_t seq_add, uint32_t ack_add);

/* True for the packet that opens a flow: SYN without ACK, FIN or RST.  */
bool bl_packet_is_first (const struct bl_packet *packet);

uint64_t bl_flow_hash (const struct bl_flow_key *key);
bool bl_flow_key_equal (const struct bl_flow_key *a,
                        const struct bl_flow_key *b);

/* -- records: what members and backend servers say of themselves -- */

enum bl_instance_kind
{
  BL_KIND_BALANCER = 0, /* a balancer */
  BL_KIND_BACKEND = 1,  /* a backend server, announced by its agent */
};

/* Ordered by precedence: at equal incarnation and sequence number the later
   state replaces the earlier one.  */
enum bl_instance_state
{
  BL_STATE_STARTING = 0,
  BL_STATE_READY = 1,
  BL_STATE_DRAINING = 2,
  BL_STATE_SUSPECT = 3,
  BL_STATE_LEFT = 4,
  BL_STATE_DEAD = 5,
};

const char *bl_state_name (enum bl_instance_state state);

/* A versioned record.  Its owner raises SEQ at each change and INCARNATION
   at each start; others may only mark it suspect or dead.  */
struct bl_record
{
  enum bl_instance_kind kind;
  enum bl_instance_state state;
  struct bl_name id;      /* name of the instance */
  struct bl_name dc;      /* data centre */
  struct bl_name service; /* backend server only */
  uint32_t ip;
  uint16_t data_port;    /* UDP: packets */
  uint16_t control_port; /* UDP: control messages */
  uint16_t bulk_port;    /* ZeroMQ: pulls; 0 for a backend server */
  uint16_t admin_port;   /* HTTP: admin API */
  uint64_t incarnation;  /* start time, in milliseconds since 1970 */
  uint32_t seq;
  uint32_t slots; /* backend server: requests at once */
  bool unhealthy; /* backend server: by its health, it should get nothing */
  bool adopted;   /* backend server: its keepers are of another data centre,
                     for want of any in its own */
};

#define BL_NAMES_MAX 32

/* A small set of names.  */
struct bl_names
{
  size_t count;
  struct bl_name items[BL_NAMES_MAX];
};

bool bl_names_has (const struct bl_names *names, const struct bl_name *name);
/* Adds a name unless it is there or the set is full.  */
void bl_names_add (struct bl_names *names, const struct bl_name *name);

/* Positive when A replaces B, 0 when they are equal, else negative.  */
int bl_record_compare (const struct bl_record *a, const struct bl_record *b);

/* -- configuration -- */

#define BL_LISTENERS_MAX   8
#define BL_RULES_MAX       640
#define BL_REFUSAL_MAX     200
#define BL_WEIGHT_MAX      1000
#define BL_WEIGHT_DEFAULT  100
#define BL_PRIORITY_MAX    7
#define BL_VALUE_MAX_BYTES (1024 * 1024) /* of one value of the platform */

/* A port of a service, the class of its traffic, and its refusal.  */
struct bl_listener
{
  uint16_t port;
  uint8_t priority; /* 0 lowest .. BL_PRIORITY_MAX */
  uint8_t reserved; /* slots kept free for this priority and above */
  uint32_t wait_ms; /* longest wait for a slot */
  struct bl_name class_name;
  uint8_t refusal_len;
  /* Sent before closing, with BL_RETRY_PLACEHOLDER replaced by whole seconds;
     empty: a reset.  */
  char refusal[BL_REFUSAL_MAX];
};

#define BL_RETRY_PLACEHOLDER "{retry_after}"

/* Writes the refusal of a listener for RETRY_AFTER_MS into BUF of
   BL_REFUSAL_MAX + 16 bytes; returns its length.  */
size_t bl_refusal_format (const struct bl_listener *listener,
                          uint32_t retry_after_ms,
                          char *buf);

/* How one backend server, or all of one data centre, is treated.  */
struct bl_rule
{
  bool is_dc; /* NAME is a data centre, not a backend server */
  bool drain;
  uint16_t weight; /* 0: keeps its flows, gets no new ones */
  uint8_t rank;    /* lower is preferred */
  struct bl_name name;
};

/* A service as the operators configured it.  */
struct bl_service
{
  uint32_t id; /* never used again */
  bool removed;
  struct bl_name name;
  uint32_t address; /* IPv4, host order */
  uint64_t changed; /* configuration version of its last change */
  uint32_t idle_s;  /* seconds of silence before a flow is probed */
  size_t listener_count;
  struct bl_listener listeners[BL_LISTENERS_MAX];
  size_t rule_count;
  struct bl_rule *rules; /* owned */
};

struct json_t;

/* Reads a service from JSON.  Adds findings under PLACE and returns
   BL_EFORMAT when there are any; *OUT is then NULL.  */
int bl_service_from_json (struct bl_service **out,
                          const struct json_t *json,
                          const char *place,
                          struct bl_findings *findings);
/* A new JSON object that reads back as the same service.  */
struct json_t *bl_service_to_json (const struct bl_service *service);
void bl_service_free (struct bl_service *service);

struct bl_config;

struct bl_config *bl_config_new (void);
void bl_config_free (struct bl_config *config);
uint64_t bl_config_version (const struct bl_config *config);

/* Takes the services of one piece, all changed after the held version and up
   to UP_TO, and moves to version UP_TO.  Takes ownership of the SERVICES on
   success.  BL_ESTALE when UP_TO is not newer than what is held (the
   configuration never goes back), or FROM is newer than it (a gap).  */
int bl_config_apply (struct bl_config *config,
                     uint64_t from,
                     uint64_t up_to,
                     struct bl_service **services,
                     size_t count);
const struct bl_service *bl_config_find (const struct bl_config *config,
                                         const struct bl_name *name);
/* The service behind an address and port; LISTENER may be NULL.  */
const struct bl_service *bl_config_lookup (const struct bl_config *config,
                                           uint32_t address,
                                           uint16_t port,
                                           const struct bl_listener **listener);
/* Lists the services changed after version FROM, oldest change first, until
   about MAX; a version is never split.  *UP_TO is the version that a holder
   of FROM has once it applied them.  Returns the count.  */
size_t bl_config_since (const struct bl_config *config,
                        uint64_t from,
                        const struct bl_service **out,
                        size_t max,
                        uint64_t *up_to);
size_t bl_config_count (const struct bl_config *config);

/* -- placement -- */

#define BL_FALLBACKS_MAX 4 /* candidates named in a packet's header */

/* A backend server as placement sees it.  */
struct bl_candidate
{
  uint64_t hash; /* of its name */
  uint64_t incarnation;
  struct bl_addr data;
  struct bl_addr control;
  uint16_t weight;
  uint8_t rank;
  bool ready;         /* else it keeps its flows and gets no new ones */
  bool declared_dead; /* declared dead, which may be wrong; tried last */
  bool unhealthy; /* by its health; ready only when all others are unwell too */
  struct bl_name id;
};

/* The candidates of one service.  */
struct bl_pool
{
  size_t count;
  size_t cap;
  bool equal_weights;
  struct bl_candidate *items; /* owned */
};

void bl_pool_clear (struct bl_pool *pool);
void bl_pool_free (struct bl_pool *pool);
/* Adds a candidate unless it is of another service, starting or left.  One in
   a data centre of LOST (NULL: none), unless adopted, is never ready: nobody
   there would tell of its death.  */
int bl_pool_add (struct bl_pool *pool,
                 const struct bl_service *service,
                 const struct bl_record *record,
                 const struct bl_names *lost);

/* To be called when all candidates are added.  Health reports may be wrong,
   so they never leave a service without any ready candidate: when none is
   well, those unwell are taken as ready.  */
void bl_pool_finish (struct bl_pool *pool);

/* Orders candidates for a flow.  Behaviour that varies is a table of
   functions in the first member.  */
struct bl_policy;
struct bl_policy_ops
{
  const char *name;
  /* Writes indices into POOL->items, best first; returns how many.  */
  size_t (*rank) (struct bl_policy *policy,
                  const struct bl_pool *pool,
                  uint64_t flow_hash,
                  uint32_t *out,
                  size_t max);
};
struct bl_policy
{
  const struct bl_policy_ops *ops;
};

/* Weighted rendezvous hashing: ready before others, then rank, then the
   score.  Two balancers with the same pool give the same order, and taking
   one candidate away leaves the order of the rest.  */
extern struct bl_policy bl_policy_rendezvous;

/* -- forwarding header -- */

#define BL_FORWARD_VERSION  1
#define BL_FORWARD_MAX      160 /* bytes of the encoded header */
#define BL_FORWARD_HOPS_MAX 8

struct bl_hop
{
  struct bl_addr data;
  uint64_t incarnation;
};

/* What stands before a packet on its way from balancer to agent and from
   agent to agent.  */
struct bl_forward
{
  uint32_t service; /* id of the service */
  uint64_t
      target_incarnation;    /* incarnation of the agent that it is meant for */
  uint8_t hops;              /* agents that passed it on */
  bool placed;               /* a first packet whose place is decided */
  bool to_owner;             /* sent on by an agent that knows the owner */
  struct bl_hop primary_hop; /* first agent that saw it; port 0: none yet */
  size_t fallback_count;
  struct bl_hop
      fallback_hops[BL_FALLBACKS_MAX]; /* still to be tried, best first */
};

/* Encodes into BUF of BL_FORWARD_MAX bytes; returns the length.  */
size_t bl_forward_encode (const struct bl_forward *forward, uint8_t *buf);
/* Returns the length of the header, or BL_ESHORT, BL_EVERSION,
   BL_EFORMAT.  */
int
bl_forward_decode (struct bl_forward *forward, const uint8_t *buf, size_t len);

/* -- agent -- */

/* The agent of one backend server: owns its flows, places new ones, passes
   on packets of others, announces the backend server and learns of its
   peers.  */
struct bl_agent;

#define BL_SEEDS_MAX 16

struct bl_agent_settings
{
  struct bl_name id;
  struct bl_name dc;
  struct bl_name service;
  uint32_t ip;
  uint16_t data_port;
  uint16_t control_port;
  uint16_t admin_port;
  uint32_t slots;     /* requests that the backend server runs at once */
  uint32_t max_flows; /* connections that it holds */
  uint64_t incarnation;
  uint64_t random_seed;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
};

/* What the core asks of its surroundings.  Buffers belong to the core and are
   valid during the call only.  */
struct bl_agent_ops
{
  /* Sends a control message as a datagram.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Sends a request to a balancer's bulk address; the reply comes back
     through bl_agent_message.  */
  void (*pull) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Passes a packet on to another agent.  */
  void (*forward) (void *ctx,
                   struct bl_addr to,
                   const struct bl_forward *forward,
                   const uint8_t *packet,
                   size_t len);
  /* Gives a packet to the TCP stack.  */
  void (*deliver) (void *ctx, const uint8_t *packet, size_t len);
  /* Sends a packet to the caller.  */
  void (*answer) (void *ctx, const uint8_t *packet, size_t len);
  /* Makes the TCP stack forget a connection without telling the caller.  */
  void (*forget) (void *ctx, const struct bl_flow_key *key);
};

enum bl_agent_counter
{
  BL_AGENT_DELIVERED,        /* packets given to the TCP stack */
  BL_AGENT_FORWARDED,        /* packets passed on along the chain */
  BL_AGENT_REDIRECTED,       /* packets passed on to a known owner */
  BL_AGENT_PLACED_HERE,      /* flows placed at this backend server */
  BL_AGENT_PLACED_ELSEWHERE, /* flows placed at a peer */
  BL_AGENT_REFUSED,          /* flows refused before any byte */
  BL_AGENT_QUERIES,          /* owners asked for */
  BL_AGENT_RESETS,           /* resets for flows that nobody owns */
  BL_AGENT_UNKNOWN_DROPPED,  /* packets of flows whose owner is not known */
  BL_AGENT_BAD_HEADER,       /* forwarding header cut short or malformed */
  BL_AGENT_BAD_VERSION,      /* forwarding header of another version */
  BL_AGENT_BAD_PACKET,       /* IP packet cut short or malformed */
  BL_AGENT_BAD_CHECKSUM,     /* IP packet damaged */
  BL_AGENT_WRONG_SERVICE,    /* packet of another service */
  BL_AGENT_OLD_INCARNATION,  /* packet meant for an earlier process here */
  BL_AGENT_TOO_MANY_HOPS,    /* packet passed on too often */
  BL_AGENT_BAD_MESSAGE,      /* control message malformed */
  BL_AGENT_SUPPRESSED,       /* stray packets of the stack held back */
  BL_AGENT_COUNTERS,
};

struct bl_agent *bl_agent_new (const struct bl_agent_settings *settings,
                               const struct bl_agent_ops *ops,
                               void *ctx);
void bl_agent_free (struct bl_agent *agent);
/* To be called every 50 to 200 ms.  */
void bl_agent_tick (struct bl_agent *agent, uint64_t now);
/* A control message or a reply to a pull; returns a BL_E* code.  */
int bl_agent_message (struct bl_agent *agent,
                      uint64_t now,
                      struct bl_addr from,
                      const uint8_t *buf,
                      size_t len);
/* A datagram to ADDR, a control address, was turned down by the instance there:
   no process listens.  Tells one that has ended from one that is paused.  */
void bl_agent_port_unreachable (struct bl_agent *agent,
                                uint64_t now,
                                struct bl_addr addr);
/* A datagram on the data address: forwarding header and packet.  Returns
   BL_OK also when the packet was dropped for want of an owner.  */
int bl_agent_packet (struct bl_agent *agent,
                     uint64_t now,
                     const uint8_t *buf,
                     size_t len);
/* A packet that the TCP stack wants to send; its sequence number is shifted in
   place.  False: hold it back, for the flow is not this agent's.  */
bool bl_agent_outgoing (struct bl_agent *agent,
                        uint64_t now,
                        uint8_t *packet,
                        size_t len);
/* The stack has let go of a connection.  */
void bl_agent_flow_closed (struct bl_agent *agent,
                           uint64_t now,
                           const struct bl_flow_key *key);
/* Whether the backend server can be given flows, as seen beside it.  */
void bl_agent_set_ready (struct bl_agent *agent, bool ready);
/* Work under way, in thousandths of a slot; see docs/design/placement.md.  */
void bl_agent_set_load (struct bl_agent *agent, uint32_t load);
/* Starts a graceful stop: no new flows from now on, for good.  */
void bl_agent_drain (struct bl_agent *agent);
/* Tells everybody that this agent is gone; call once, last.  */
void bl_agent_leave (struct bl_agent *agent);
enum bl_instance_state bl_agent_state (const struct bl_agent *agent);
/* True when new flows are taken in.  */
bool bl_agent_accepting (const struct bl_agent *agent);
size_t bl_agent_flow_count (const struct bl_agent *agent);
/* The service as last heard of; NULL before that.  */
const struct bl_service *bl_agent_service (const struct bl_agent *agent);
size_t bl_agent_peer_count (const struct bl_agent *agent);
uint64_t bl_agent_counter (const struct bl_agent *agent,
                           enum bl_agent_counter counter);
const char *bl_agent_counter_name (enum bl_agent_counter counter);

/* -- node -- */

/* A balancer: a member of its region, keeper for some agents, at times relay
   of the configuration, and the router of packets.  */
struct bl_node;

struct bl_node_settings
{
  struct bl_name id;
  struct bl_name dc;
  uint32_t ip;
  uint16_t data_port;
  uint16_t control_port;
  uint16_t bulk_port;
  uint16_t admin_port;
  uint64_t incarnation;
  uint64_t random_seed;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
};

struct bl_node_ops
{
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  void (*pull) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
};

enum bl_node_counter
{
  BL_NODE_FORWARDED,       /* packets sent to an agent */
  BL_NODE_BAD_PACKET,      /* cut short or malformed */
  BL_NODE_BAD_CHECKSUM,    /* damaged */
  BL_NODE_UNKNOWN_SERVICE, /* no such address and port */
  BL_NODE_NO_BACKEND,      /* a service without backend servers */
  BL_NODE_BAD_MESSAGE,     /* control message malformed */
  BL_NODE_BAD_VERSION,     /* control message of another version */
  BL_NODE_PINGS,           /* sent */
  BL_NODE_SUSPICIONS,      /* members suspected by this node */
  BL_NODE_DEATHS,          /* members and backend servers declared dead */
  BL_NODE_REFUTATIONS,     /* times it had to say that it is alive */
  BL_NODE_PULLS,           /* of records and configuration */
  BL_NODE_UPDATES_SENT,    /* records pushed */
  BL_NODE_COUNTERS,
};

struct bl_node *bl_node_new (const struct bl_node_settings *settings,
                             const struct bl_node_ops *ops,
                             void *ctx);
void bl_node_free (struct bl_node *node);
void bl_node_tick (struct bl_node *node, uint64_t now);
int bl_node_message (struct bl_node *node,
                     uint64_t now,
                     struct bl_addr from,
                     const uint8_t *buf,
                     size_t len);
/* Answers a request that came to the bulk address.  Returns the reply, valid
   until the next call on this node, and its length; NULL when the request is
   malformed.  */
const uint8_t *bl_node_request (struct bl_node *node,
                                uint64_t now,
                                const uint8_t *buf,
                                size_t len,
                                size_t *reply_len);
/* Takes in a record that a caller of the core learnt by other means than
   messages, without sending it on.  */
void bl_node_add_record (struct bl_node *node, const struct bl_record *record);
/* Chooses the agent for a packet.  BL_OK fills TO and FORWARD.  */
int bl_node_route (struct bl_node *node,
                   const uint8_t *packet,
                   size_t len,
                   struct bl_addr *to,
                   struct bl_forward *forward);
/* True while this node is one of its data centre's relays, which watch the
   platform.  */
bool bl_node_is_relay (const struct bl_node *node);
/* True once the node has caught up with its peers, or found itself alone.  */
bool bl_node_is_ready (const struct bl_node *node);
/* What a relay read from the platform; as bl_config_apply, and spreads it.  */
int bl_node_apply_config (struct bl_node *node,
                          uint64_t from,
                          uint64_t up_to,
                          struct bl_service **services,
                          size_t count);
const struct bl_config *bl_node_config (const struct bl_node *node);
/* Tells everybody that this node is gone; call once, last.  */
void bl_node_leave (struct bl_node *node);
/* Starts a graceful stop: peers see it draining, packets still pass.  */
void bl_node_drain (struct bl_node *node);
void bl_node_each_record (struct bl_node *node,
                          enum bl_instance_kind kind,
                          void (*visit) (void *ctx, const struct bl_record *r),
                          void *ctx);
/* What is held under a name, or NULL; valid until the next call.  */
const struct bl_record *bl_node_record (const struct bl_node *node,
                                        enum bl_instance_kind kind,
                                        const struct bl_name *id);
/* False for a backend server in a data centre without balancers, unless it is
   adopted: it gets no new flows, whatever its record says.  */
bool bl_node_is_monitored (const struct bl_node *node,
                           const struct bl_record *record);
/* Calls VISIT for each agent that this node keeps, with the version of its
   service that the agent applied.  */
void bl_node_each_monitored (struct bl_node *node,
                             void (*visit) (void *ctx,
                                            const struct bl_record *r,
                                            uint64_t applied,
                                            uint32_t flows),
                             void *ctx);
uint64_t bl_node_counter (const struct bl_node *node,
                          enum bl_node_counter counter);
const char *bl_node_counter_name (enum bl_node_counter counter);

#endif
