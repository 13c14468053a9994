/* boragelatch.h -- public interface of the boragelatch core

   The core takes load balancing decisions and performs no I/O: it opens no
   socket, reads no clock, draws no random number from the system and writes
   no file.  The calling program passes the time as `now`, in milliseconds of
   any monotonic clock, and the seeds of the random numbers.  It passes input
   as buffers and supplies the operations that send output.  The same inputs
   give the same outputs.

   Return codes: functions that can fail return 0 on success and a negative
   BL_E* code otherwise, and change nothing on failure.  No function keeps a
   pointer to its arguments unless its comment states so.  The core is not
   thread-safe; a lock around each object is sufficient.  */

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
  BL_EVERSION = -2,  /* message of another protocol version */
  BL_ECHECKSUM = -3, /* IP or TCP checksum does not match */
  BL_EFORMAT = -4,   /* input has an unexpected structure */
  BL_ERANGE = -5,    /* value outside its bounds */
  BL_ENOTFOUND = -6, /* requested object does not exist */
  BL_ESTALE = -7,    /* input is older than the data already held */
  BL_ENOMEM = -8,    /* out of memory, or a table is full */
  BL_ECONFLICT = -9, /* a concurrent change was accepted first */
};

/* Returns a short lower-case description of a return code; never NULL.  */
const char *bl_strerror (int code);

#define BL_FINDING_PLACE_MAX 96
#define BL_FINDING_TEXT_MAX  192
#define BL_FINDINGS_MAX      64

/* An error in an input, and the place where it was found.  */
struct bl_finding
{
  char place[BL_FINDING_PLACE_MAX]; /* such as "root.parts[3]" */
  char text[BL_FINDING_TEXT_MAX];
};

/* All errors found by the validation of an input.  Zero-initialise before
   use; holds no allocated memory.  Findings beyond BL_FINDINGS_MAX are counted
   but not stored.  */
struct bl_findings
{
  size_t count; /* including findings that were not stored */
  struct bl_finding items[BL_FINDINGS_MAX];
};

/* Adds a finding; FORMAT is as for printf.  */
void bl_findings_add (struct bl_findings *f,
                      const char *place,
                      const char *format,
                      ...) __attribute__ ((format (printf, 3, 4)));

/* -- strings and addresses -- */

/* A length-counted string; the memory is not owned by this structure.  */
struct bl_str
{
  const char *ptr;
  size_t len;
};

#define BL_NAME_MAX 47

/* A length-counted name.  Bytes past LEN are zero, so that names can be
   compared and hashed as memory.  */
struct bl_name
{
  uint8_t len;
  char s[BL_NAME_MAX + 1];
};

/* Sets NAME to TEXT.  Returns BL_ERANGE if TEXT is empty, longer than
   BL_NAME_MAX, or contains a character other than letters, digits, '-', '_'
   and '.'.  */
int bl_name_set (struct bl_name *name, struct bl_str text);
/* Returns the null-terminated TEXT as a bl_str that points to it.  */
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

/* Parses an address and port such as "1.2.3.4:5"; port 0 is refused.  Returns
   BL_EFORMAT on any other text.  */
int bl_addr_parse (struct bl_addr *addr, struct bl_str text);
/* Parses an address such as "1.2.3.4".  Returns BL_EFORMAT on any other
   text.  */
int bl_ip_parse (uint32_t *ip, struct bl_str text);
/* Writes ADDR into BUF, which holds BL_ADDR_TEXT_MAX bytes; returns BUF.  */
char *bl_addr_format (struct bl_addr addr, char *buf);
bool bl_addr_equal (struct bl_addr a, struct bl_addr b);

/* -- pseudo-random numbers -- */

struct bl_random
{
  uint64_t state; /* initially the seed */
};

uint64_t bl_random_next (struct bl_random *r);
/* Returns a number in [0, BOUND); 0 if BOUND is 0.  */
uint32_t bl_random_below (struct bl_random *r, uint32_t bound);
/* Returns a number in [0, 1).  */
double bl_random_unit (struct bl_random *r);

/* -- packets -- */

#define BL_TCP_FIN 0x01
#define BL_TCP_SYN 0x02
#define BL_TCP_RST 0x04
#define BL_TCP_ACK 0x10

#define BL_PACKET_MAX 2048 /* bytes of the largest IPv4 packet forwarded */

/* The 4-tuple of a TCP flow; the source is the caller.  */
struct bl_flow_key
{
  uint32_t src_ip;
  uint32_t dst_ip;
  uint16_t src_port;
  uint16_t dst_port;
};

/* The header fields of an IPv4 TCP packet that decisions are based on.  */
struct bl_packet
{
  struct bl_flow_key key;
  uint32_t seq;
  uint32_t ack;
  uint8_t flags;
  uint16_t payload_len; /* bytes */
};

/* Parses an IPv4 packet that contains a complete TCP segment and verifies
   both checksums.  Returns BL_ESHORT, BL_EFORMAT (not IPv4, not TCP, a
   fragment, inconsistent lengths) or BL_ECHECKSUM.  */
int bl_packet_parse (struct bl_packet *packet, const uint8_t *buf, size_t len);

/* Bytes of a reset or a challenge ACK: IP and TCP header without options.  */
#define BL_RESET_LEN 40

/* Writes the reset that a host without the connection sends in response to
   PACKET (RFC 9293, 3.10.7.1) into BUF (BL_RESET_LEN bytes).  Returns its
   length, or 0 if PACKET is itself a reset, which must not be answered.  */
size_t bl_packet_reset (const struct bl_packet *packet, uint8_t *buf);

/* Writes an acknowledgement without data, which reports to the sender of
   PACKET the sequence number SEQ and the acknowledgement number ACK of the
   connection that the receiver holds.  BUF and the result are as for
   bl_packet_reset.  */
size_t bl_packet_challenge_ack (const struct bl_packet *packet,
                                uint32_t seq,
                                uint32_t ack,
                                uint8_t *buf);

/* Adds SEQ_ADD to the sequence number and, if the ACK flag is set, ACK_ADD to
   the acknowledgement number, modulo 2^32, and updates the TCP checksum.  BUF
   holds a packet that bl_packet_parse accepted.  */
void bl_packet_adjust_seq (uint8_t *buf, uint32_t seq_add, uint32_t ack_add);

/* Returns true for the first packet of a flow: SYN without ACK, FIN or
   RST.  */
bool bl_packet_is_first (const struct bl_packet *packet);

uint64_t bl_flow_hash (const struct bl_flow_key *key);
bool bl_flow_key_equal (const struct bl_flow_key *a,
                        const struct bl_flow_key *b);

/* -- membership records -- */

enum bl_instance_kind
{
  BL_KIND_BALANCER = 0, /* a balancer */
  BL_KIND_BACKEND = 1,  /* a backend server, announced by its agent */
};

/* Ordered by precedence: at equal incarnation and sequence number, a state
   from SUSPECT on replaces all states before it.  The first three states do
   not replace each other.  */
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

/* The membership record of an instance.  The instance itself increments SEQ
   at each change and raises INCARNATION at each start.  Other instances change
   STATE only, to suspect or dead.  */
struct bl_record
{
  enum bl_instance_kind kind;
  enum bl_instance_state state;
  struct bl_name id;      /* name of the instance */
  struct bl_name dc;      /* data centre */
  struct bl_name service; /* backend servers only */
  uint32_t ip;
  uint16_t data_port;    /* UDP: packets */
  uint16_t control_port; /* UDP: control messages */
  uint16_t bulk_port;    /* ZeroMQ: pulls; 0 for backend servers */
  uint16_t admin_port;   /* HTTP: admin API */
  uint64_t incarnation;  /* start time, in milliseconds since 1970 */
  uint32_t seq;
  uint32_t slots; /* backend servers only: maximum of concurrent requests */
  uint64_t backend_start; /* transport datagram, in the store only: start of the
                             backend server, in milliseconds since 1970; 0: not
                             known */
  bool unhealthy; /* backend servers only: the health check fails, so the
                     server should receive no new flows */
  bool remotely_monitored; /* backend servers only: balancers of another data
                              centre monitor the server, because its own has
                              no balancer */
};

#define BL_NAMES_MAX 32

/* A set of names.  */
struct bl_names
{
  size_t count;
  struct bl_name items[BL_NAMES_MAX];
};

bool bl_names_has (const struct bl_names *names, const struct bl_name *name);
/* Adds a name; has no effect if the set is full.  */
void bl_names_add (struct bl_names *names, const struct bl_name *name);

/* Returns a positive value if A replaces B, 0 if neither replaces the other,
   a negative value if B replaces A.  */
int bl_record_compare (const struct bl_record *a, const struct bl_record *b);

/* -- configuration -- */

#define BL_LISTENERS_MAX  8
#define BL_RULES_MAX      640
#define BL_REFUSAL_MAX    200
#define BL_WEIGHT_MAX     1000
#define BL_WEIGHT_DEFAULT 100
#define BL_PRIORITY_MAX   7
/* Bytes of a value in the platform's store.  */
#define BL_VALUE_MAX_BYTES (1024 * 1024)

/* A port of a service, with the admission limits of its traffic class and the
   response to requests that are not admitted.  */
struct bl_listener
{
  uint16_t port;
  uint8_t priority; /* 0 (lowest) to BL_PRIORITY_MAX */
  uint8_t reserved; /* slots reserved for this priority and above */
  uint32_t wait_ms; /* maximum wait for a slot */
  struct bl_name class_name;
  uint8_t refusal_len;
  /* Response sent before the connection is closed, with BL_RETRY_PLACEHOLDER
     replaced by the seconds to wait before a retry.  If empty, the connection
     is reset.  */
  char refusal[BL_REFUSAL_MAX];
};

#define BL_RETRY_PLACEHOLDER "{retry_after}"

/* Writes the refusal of LISTENER into BUF of BL_REFUSAL_MAX + 16 bytes, with
   RETRY_AFTER_MS rounded up to whole seconds; returns its length.  */
size_t bl_refusal_format (const struct bl_listener *listener,
                          uint32_t retry_after_ms,
                          char *buf);

/* Settings of a backend server, or of all backend servers of a data centre,
   within a service.  */
struct bl_rule
{
  bool is_dc; /* NAME is a data centre, not a backend server */
  bool drain;
  uint16_t weight; /* 0: keeps its flows, receives no new ones */
  uint8_t rank;    /* lower ranks are preferred */
  struct bl_name name;
};

/* The configuration of a service.  */
struct bl_service
{
  uint32_t id;  /* not reused after removal */
  bool removed; /* tombstone of a removed service */
  struct bl_name name;
  uint32_t address; /* IPv4, host byte order */
  uint64_t changed; /* configuration version of its last change */
  uint32_t idle_s;  /* seconds without traffic before a flow is probed */
  size_t listener_count;
  struct bl_listener listeners[BL_LISTENERS_MAX];
  size_t rule_count;
  struct bl_rule *rules; /* owned */
};

struct json_t;

/* Creates a service from JSON.  Adds the errors to FINDINGS, with PLACE as the
   path of the service, and returns BL_EFORMAT if there are any, or BL_ENOMEM.
   *OUT is NULL on failure.  */
int bl_service_from_json (struct bl_service **out,
                          const struct json_t *json,
                          const char *place,
                          struct bl_findings *findings);
/* Returns a new JSON object from which bl_service_from_json creates the same
   service.  */
struct json_t *bl_service_to_json (const struct bl_service *service);
void bl_service_free (struct bl_service *service);

struct bl_config;

struct bl_config *bl_config_new (void);
void bl_config_free (struct bl_config *config);
uint64_t bl_config_version (const struct bl_config *config);

/* Applies the changes from version FROM to version UP_TO: SERVICES holds the
   current state of each service that changed in between.  Takes ownership of
   the services on success.  Returns BL_ESTALE if UP_TO is not newer than the
   version held (the configuration never goes back) or FROM is newer than it
   (changes in between are missing), BL_ERANGE if a service changed after
   UP_TO, or BL_ENOMEM.  */
int bl_config_apply (struct bl_config *config,
                     uint64_t from,
                     uint64_t up_to,
                     struct bl_service **services,
                     size_t count);
/* Returns the service of this name, or NULL if there is none or it was
   removed.  */
const struct bl_service *bl_config_find (const struct bl_config *config,
                                         const struct bl_name *name);
/* Returns the service that listens on an address and port, or NULL.  Stores
   its listener in *LISTENER unless LISTENER is NULL.  */
const struct bl_service *bl_config_lookup (const struct bl_config *config,
                                           uint32_t address,
                                           uint16_t port,
                                           const struct bl_listener **listener);
/* Lists up to MAX services changed after version FROM, oldest change first,
   and returns their count.  *UP_TO is the version that a holder of FROM reaches
   by applying them.  The changes of one version are never split; if a version
   changed more than MAX services, the result ends before it.  */
size_t bl_config_since (const struct bl_config *config,
                        uint64_t from,
                        const struct bl_service **out,
                        size_t max,
                        uint64_t *up_to);
size_t bl_config_count (const struct bl_config *config);

/* -- placement -- */

/* Candidates ranked for a packet; the forwarding header has room for as many
   fallbacks.  */
#define BL_FALLBACKS_MAX 4

/* A backend server that a flow can be placed on.  */
struct bl_candidate
{
  uint64_t hash; /* of ID */
  uint64_t incarnation;
  struct bl_addr data;
  struct bl_addr control;
  uint16_t weight;
  uint8_t rank;
  bool ready;         /* accepts new flows; otherwise keeps its own only */
  bool declared_dead; /* possibly in error, so it is tried last */
  bool unhealthy;     /* ready only if no healthy candidate is ready */
  struct bl_name id;
};

/* The candidates of a service.  */
struct bl_pool
{
  size_t count;
  size_t cap;
  bool equal_weights;         /* all candidates have the same weight */
  struct bl_candidate *items; /* owned */
};

/* Removes all candidates but keeps the memory for new ones.  */
void bl_pool_clear (struct bl_pool *pool);
void bl_pool_free (struct bl_pool *pool);
/* Adds the backend server of RECORD with the rules of SERVICE, unless it
   belongs to another service or its state is starting or left.
   DCS_WITHOUT_BALANCERS may be NULL, which means none.  A backend server in
   such a data centre is never ready unless it is remotely monitored, because
   its failure would not be detected.  */
int bl_pool_add (struct bl_pool *pool,
                 const struct bl_service *service,
                 const struct bl_record *record,
                 const struct bl_names *dcs_without_balancers);

/* Excludes unhealthy candidates from new flows; to be called after the last
   bl_pool_add.  Health reports may be wrong, so they never leave a service
   without a ready candidate: if no ready candidate is healthy, the unhealthy
   ones stay ready.  */
void bl_pool_finish (struct bl_pool *pool);

/* A placement policy, which orders the candidates for a flow.  Its first member
   points to the functions of the implementation.  */
struct bl_policy;
struct bl_policy_ops
{
  const char *name;
  /* Writes up to MAX indices into POOL->items, best first; returns their
     count.  */
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

/* Weighted rendezvous hashing: orders candidates by readiness, then by rank,
   then by score.  Balancers with the same pool compute the same order, and the
   removal of a candidate does not change the order of the others.  */
extern struct bl_policy bl_policy_rendezvous;

/* -- forwarding header -- */

#define BL_FORWARD_VERSION  1
#define BL_FORWARD_MAX      160 /* bytes of the encoded header */
#define BL_FORWARD_HOPS_MAX 8

/* An agent as the destination of a forwarded packet.  */
struct bl_hop
{
  struct bl_addr data; /* its data address */
  uint64_t incarnation;
};

/* The header in front of a packet that a balancer or an agent forwards to an
   agent.  */
struct bl_forward
{
  uint32_t service;            /* id of the service */
  uint64_t target_incarnation; /* of the receiving agent */
  uint8_t hops;                /* number of agents that forwarded the packet */
  bool placed;   /* first packet: its flow was placed on the receiver */
  bool to_owner; /* sent directly to the owner of the flow */
  /* The agent that received the packet from a balancer; port 0 until an agent
     forwards the packet.  */
  struct bl_hop primary_hop;
  /* Agents to try next if the receiver is not the owner, best first.  */
  size_t fallback_count;
  struct bl_hop fallback_hops[BL_FALLBACKS_MAX];
};

/* Encodes the header into BUF of BL_FORWARD_MAX bytes; returns its length.  */
size_t bl_forward_encode (const struct bl_forward *forward, uint8_t *buf);
/* Decodes the header at the start of BUF.  Returns its length, or BL_ESHORT,
   BL_EVERSION, BL_EFORMAT or BL_ENOMEM.  */
int
bl_forward_decode (struct bl_forward *forward, const uint8_t *buf, size_t len);

/* -- agent -- */

/* The agent of a backend server.  It owns the flows of the server, places new
   flows on the server or its peers, forwards packets of flows that peers own,
   announces the server to balancers, and receives the list of peers from
   them.  */
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
  uint32_t slots;     /* concurrent requests of the backend server */
  uint32_t max_flows; /* concurrent connections of the backend server */
  uint64_t incarnation;
  uint64_t random_seed;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
};

/* Operations that the calling program supplies.  Buffers are owned by the core
   and valid during the call only.  */
struct bl_agent_ops
{
  /* Sends a control message as a datagram.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Sends a request to the bulk address of a balancer; the reply is to be
     passed to bl_agent_message.  */
  void (*pull) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Forwards a packet to another agent.  */
  void (*forward) (void *ctx,
                   struct bl_addr to,
                   const struct bl_forward *forward,
                   const uint8_t *packet,
                   size_t len);
  /* Passes a packet to the TCP stack.  */
  void (*deliver) (void *ctx, const uint8_t *packet, size_t len);
  /* Sends a packet to the caller.  */
  void (*send_to_caller) (void *ctx, const uint8_t *packet, size_t len);
  /* Removes a connection from the TCP stack without a reset to the caller.  */
  void (*remove_connection) (void *ctx, const struct bl_flow_key *key);
};

enum bl_agent_counter
{
  BL_AGENT_DELIVERED,             /* packets passed to the TCP stack */
  BL_AGENT_FORWARDED_TO_FALLBACK, /* packets */
  BL_AGENT_FORWARDED_TO_OWNER,    /* packets */
  BL_AGENT_PLACED_HERE,           /* flows placed on this backend server */
  BL_AGENT_PLACED_ELSEWHERE,      /* flows placed on a peer */
  BL_AGENT_REFUSED,               /* flows reset at their first packet */
  BL_AGENT_OWNER_LOOKUPS,         /* lookups started */
  BL_AGENT_RESETS,                /* resets for flows without an owner */
  BL_AGENT_UNKNOWN_DROPPED, /* dropped packets of flows of unknown owner */
  BL_AGENT_BAD_HEADER,      /* forwarding headers truncated or malformed */
  BL_AGENT_BAD_VERSION,     /* forwarding headers of another version */
  BL_AGENT_BAD_PACKET,      /* IP packets truncated or malformed */
  BL_AGENT_BAD_CHECKSUM,    /* IP packets with a wrong checksum */
  BL_AGENT_WRONG_SERVICE,   /* packets of another service */
  BL_AGENT_OLD_INCARNATION, /* packets for an earlier incarnation of this
                               agent */
  BL_AGENT_TOO_MANY_HOPS,   /* packets beyond BL_FORWARD_HOPS_MAX */
  BL_AGENT_BAD_MESSAGE,     /* malformed control messages */
  BL_AGENT_SUPPRESSED,      /* packets of the TCP stack for flows that this
                               agent does not own; not sent */
  BL_AGENT_COUNTERS,
};

struct bl_agent *bl_agent_new (const struct bl_agent_settings *settings,
                               const struct bl_agent_ops *ops,
                               void *ctx);
void bl_agent_free (struct bl_agent *agent);
/* Performs periodic work; to be called every 50 to 200 ms.  */
void bl_agent_tick (struct bl_agent *agent, uint64_t now);
/* Handles a control message or the reply to a pull.  */
int bl_agent_message (struct bl_agent *agent,
                      uint64_t now,
                      struct bl_addr from,
                      const uint8_t *buf,
                      size_t len);
/* Reports that a datagram to the control address ADDR was answered by "port
   unreachable": no process listens there.  This distinguishes an instance that
   has ended from a paused one.  */
void bl_agent_port_unreachable (struct bl_agent *agent,
                                uint64_t now,
                                struct bl_addr addr);
/* Handles a datagram received on the data address, which holds a forwarding
   header and a packet.  Returns BL_OK also if the packet was dropped because
   the owner of its flow is unknown.  */
int bl_agent_packet (struct bl_agent *agent,
                     uint64_t now,
                     const uint8_t *buf,
                     size_t len);
/* Handles a packet that the TCP stack is about to send: translates its sequence
   number in place.  Returns false if the packet must not be sent because this
   agent does not own the flow.  */
bool bl_agent_outgoing (struct bl_agent *agent,
                        uint64_t now,
                        uint8_t *packet,
                        size_t len);
/* Reports that the TCP stack closed a connection.  */
void bl_agent_flow_closed (struct bl_agent *agent,
                           uint64_t now,
                           const struct bl_flow_key *key);
/* Sets whether the backend server can accept flows, as determined by the local
   health check.  */
void bl_agent_set_ready (struct bl_agent *agent, bool ready);
/* Sets the current load, in thousandths of a slot; see
   docs/design/placement.md.  */
void bl_agent_set_load (struct bl_agent *agent, uint32_t load);
/* Starts a graceful stop: the agent accepts no new flows from now on.  This
   cannot be undone.  */
void bl_agent_drain (struct bl_agent *agent);
/* Announces that this agent leaves; must be the last call, once, before
   bl_agent_free.  */
void bl_agent_leave (struct bl_agent *agent);
enum bl_instance_state bl_agent_state (const struct bl_agent *agent);
/* Returns true if the agent accepts new flows.  */
bool bl_agent_accepting (const struct bl_agent *agent);
size_t bl_agent_flow_count (const struct bl_agent *agent);
/* Returns the last received configuration of the service, or NULL.  */
const struct bl_service *bl_agent_service (const struct bl_agent *agent);
size_t bl_agent_peer_count (const struct bl_agent *agent);
uint64_t bl_agent_counter (const struct bl_agent *agent,
                           enum bl_agent_counter counter);
const char *bl_agent_counter_name (enum bl_agent_counter counter);

/* -- node -- */

/* A balancer.  It takes part in the membership protocol of the balancers,
   monitors some of the agents, routes packets to agents, and may be a relay
   that reads the configuration from the platform.  */
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

/* Operations that the calling program supplies; as in bl_agent_ops.  */
struct bl_node_ops
{
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  void (*pull) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
};

enum bl_node_counter
{
  BL_NODE_FORWARDED,       /* packets forwarded to an agent */
  BL_NODE_BAD_PACKET,      /* packets truncated or malformed */
  BL_NODE_BAD_CHECKSUM,    /* packets with a wrong checksum */
  BL_NODE_UNKNOWN_SERVICE, /* packets to an address and port of no service */
  BL_NODE_NO_BACKEND,      /* packets to a service without backend servers */
  BL_NODE_BAD_MESSAGE,     /* malformed control messages */
  BL_NODE_BAD_VERSION,     /* control messages of another version */
  BL_NODE_PINGS,           /* pings sent */
  BL_NODE_SUSPICIONS,      /* balancers that this balancer suspected */
  BL_NODE_DEATHS,          /* instances that this balancer declared dead */
  BL_NODE_REFUTATIONS,     /* suspicions of this balancer that it refuted */
  BL_NODE_PULLS,           /* pulls of records and configuration */
  BL_NODE_UPDATES_SENT,    /* records pushed */
  BL_NODE_COUNTERS,
};

struct bl_node *bl_node_new (const struct bl_node_settings *settings,
                             const struct bl_node_ops *ops,
                             void *ctx);
void bl_node_free (struct bl_node *node);
/* Performs periodic work, as bl_agent_tick.  */
void bl_node_tick (struct bl_node *node, uint64_t now);
/* Handles a control message or the reply to a pull.  */
int bl_node_message (struct bl_node *node,
                     uint64_t now,
                     struct bl_addr from,
                     const uint8_t *buf,
                     size_t len);
/* Handles a request received on the bulk address.  Returns the reply, valid
   until the next call on this node, and its length; NULL if the request is
   malformed.  */
const uint8_t *bl_node_request (struct bl_node *node,
                                uint64_t now,
                                const uint8_t *buf,
                                size_t len,
                                size_t *reply_len);
/* Adds a record that the calling program obtained by other means than
   messages.  The record is not pushed to other balancers.  */
void bl_node_apply_record (struct bl_node *node,
                           const struct bl_record *record);
/* Selects the agent for a packet.  On success fills TO with the data address of
   the agent and FORWARD with the header to put in front of the packet.
   Returns BL_ENOTFOUND if the address and port belong to no service or the
   service has no backend server, or an error of bl_packet_parse.  */
int bl_node_route (struct bl_node *node,
                   const uint8_t *packet,
                   size_t len,
                   struct bl_addr *to,
                   struct bl_forward *forward);
/* Returns true while this node is one of the relays of its data centre, which
   read the configuration from the platform.  */
bool bl_node_is_relay (const struct bl_node *node);
/* Returns true once the node has synchronised with its peers, or has found
   none, until it drains or leaves.  */
bool bl_node_is_ready (const struct bl_node *node);
/* Applies configuration read from the platform, as bl_config_apply, and pushes
   it to other balancers.  */
int bl_node_apply_config (struct bl_node *node,
                          uint64_t from,
                          uint64_t up_to,
                          struct bl_service **services,
                          size_t count);
const struct bl_config *bl_node_config (const struct bl_node *node);
/* Announces that this node leaves; must be the last call, once, before
   bl_node_free.  */
void bl_node_leave (struct bl_node *node);
/* Starts a graceful stop: the node announces that it drains and continues to
   route packets.  */
void bl_node_drain (struct bl_node *node);
/* Calls VISIT for each record of KIND.  */
void bl_node_each_record (struct bl_node *node,
                          enum bl_instance_kind kind,
                          void (*visit) (void *ctx, const struct bl_record *r),
                          void *ctx);
/* Returns the record of the instance ID, or NULL; valid until the next
   call.  */
const struct bl_record *bl_node_record (const struct bl_node *node,
                                        enum bl_instance_kind kind,
                                        const struct bl_name *id);
/* Returns false for a backend server in a data centre without balancers, unless
   balancers of another data centre monitor the server.  A server that is not
   monitored receives no new flows, even if its record states that it is
   ready.  */
bool bl_node_is_monitored (const struct bl_node *node,
                           const struct bl_record *record);
/* Calls VISIT for each agent that this node monitors, with the configuration
   version of its service that the agent applied, and its open flows.  */
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
