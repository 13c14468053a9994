/* passthrough.h -- pass-through agent: its backend server terminates flows
   itself

   The agent delivers packets of callers to its backend server, observes the
   server's packets, and reports to balancers which flows the server holds.  It
   opens no socket and reads no clock.  */

#ifndef BL_PASSTHROUGH_H
#define BL_PASSTHROUGH_H

#include "core/handover.h"
#include "core/histogram.h"
#include "core/link.h"

struct bl_passthrough;

struct bl_passthrough_settings
{
  struct bl_record self;  /* id, data centre, service, addresses, incarnation */
  struct bl_addr backend; /* of the backend server; port 0: not checked */
  uint64_t heartbeat_ms;  /* interval of the backend server's heartbeats */
  uint32_t payload_max;   /* bytes in a full packet of a caller; 0: not known */
  /* The agent's record is written to a store: bl_passthrough_note_recorded and
     bl_passthrough_settle_handover will be called.  */
  bool has_store;
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
};

/* Status that a backend server sends at a fixed interval.  */
struct bl_heartbeat
{
  struct bl_name id;
  struct bl_name service;
  struct bl_addr address;
  bool draining;
  uint32_t slots;         /* requests that the server runs at once */
  uint32_t warm_up_ms;    /* time that it stays slow after its start */
  uint64_t backend_start; /* milliseconds since 1970 */
  uint64_t seq;           /* number of the heartbeat */
};

struct bl_passthrough_ops
{
  /* Delivers a packet to the backend server.  If the server returns the packet,
     TOKEN comes back with it in bl_passthrough_returned.  */
  void (*deliver) (void *ctx,
                   const uint8_t *packet,
                   size_t len,
                   uint32_t token);
  /* Sends a packet of the backend server to the caller.  */
  void (*send_to_caller) (void *ctx,
                          uint32_t ip,
                          const uint8_t *packet,
                          size_t len);
  /* Sends LINK, and PACKET after it unless LEN is 0, to a balancer.  */
  void (*send_to_balancer) (void *ctx,
                            struct bl_addr to,
                            const struct bl_link_msg *link,
                            const uint8_t *packet,
                            size_t len);
  /* Sends a control message.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Starts a connection attempt to the backend server; the outcome is passed to
     bl_passthrough_check_result.  */
  void (*check) (void *ctx);
  /* Writes the agent's own record, which changed, to the platform's store.  */
  void (*publish) (void *ctx, const struct bl_record *record);
  /* Logs a decision: the name of its event in the log, the input that led to
     the decision, the flow (NULL: none), and the age of that input.  */
  void (*log_decision) (void *ctx,
                        const char *event_name,
                        const char *reason,
                        const struct bl_flow_key *flow,
                        uint64_t age_ms);
};

enum bl_passthrough_counter
{
  BL_PASSTHROUGH_DELIVERED,     /* packets sent to the backend server */
  BL_PASSTHROUGH_ANSWERED,      /* packets sent to callers */
  BL_PASSTHROUGH_ACCEPTED,      /* flows that the backend server accepted */
  BL_PASSTHROUGH_REFUSED,       /* first packets refused */
  BL_PASSTHROUGH_RETURNED,      /* packets of flows that are not held here */
  BL_PASSTHROUGH_WRONG_SERVICE, /* packets for another service */
  BL_PASSTHROUGH_MALFORMED,     /* packets or messages malformed */
  BL_PASSTHROUGH_NO_ROOM,       /* flows not tracked: the table is full */
  BL_PASSTHROUGH_HEARTBEATS,    /* heartbeats applied */
  BL_PASSTHROUGH_IGNORED_HEARTBEATS, /* of another service, or out of order */
  BL_PASSTHROUGH_COUNTERS,
};

struct bl_passthrough *
bl_passthrough_new (const struct bl_passthrough_settings *settings,
                    const struct bl_passthrough_ops *ops,
                    void *ctx);
void bl_passthrough_free (struct bl_passthrough *pass);
/* To be called every 10 to 50 ms.  */
void bl_passthrough_tick (struct bl_passthrough *pass, uint64_t now);
/* Handles a message of the balancer at FROM.  PACKET and BYTES are the packet
   that follows the message; NULL if there is none.  */
void bl_passthrough_link (struct bl_passthrough *pass,
                          uint64_t now,
                          struct bl_addr from,
                          const struct bl_link_msg *link,
                          const struct bl_packet *packet,
                          const uint8_t *bytes,
                          size_t len);
/* Handles a packet that the backend server sends to a caller.  PACKET->key is
   the flow's key from the caller's side: the caller's address is the
   source.  */
void bl_passthrough_outgoing (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_packet *packet,
                              const uint8_t *bytes,
                              size_t len);
/* Handles a packet of a caller that the backend server returns because it does
   not hold the flow or refuses it.  TOKEN is that of the delivery.  */
void bl_passthrough_returned (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_packet *packet,
                              uint32_t token,
                              const uint8_t *bytes,
                              size_t len);
/* Handles a control message.  Returns BL_OK or a BL_E* code.  */
int bl_passthrough_message (struct bl_passthrough *pass,
                            uint64_t now,
                            struct bl_addr from,
                            const uint8_t *buf,
                            size_t len);
/* Handles a heartbeat.  Returns BL_OK, BL_ESTALE for a heartbeat that is older
   than one received before, or BL_EFORMAT for one that cannot be of this
   agent's backend server.  In both cases it has changed nothing.  */
int bl_passthrough_heartbeat (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_heartbeat *heartbeat);
/* Handles the announcement of the backend server ID that it stops.  Returns
   BL_OK, or BL_ENOTFOUND when another backend server runs.  */
int bl_passthrough_leave (struct bl_passthrough *pass,
                          uint64_t now,
                          const struct bl_name *id);
/* Handles the outcome of a check: ALIVE if the backend server accepted the
   connection.  */
void bl_passthrough_check_result (struct bl_passthrough *pass,
                                  uint64_t now,
                                  bool alive);
/* To be called before this process stops.  Sends the state STARTING to
   balancers, unless the backend server has left or is dead, so that they wait
   for the agent's next start.  */
void bl_passthrough_stop (struct bl_passthrough *pass, uint64_t now);
/* Notes the agent's record that the platform's store held before this process
   wrote its own: RECORD names the backend server that an earlier process served
   last.  NULL: there is none.  All zero: it cannot be read.  */
void bl_passthrough_note_previous (struct bl_passthrough *pass,
                                   const struct bl_record *record);
/* Notes that the platform's store has the own record as of SEQ or later.  Until
   it has the first one of this process, and after a new start of the backend
   server, no flow is accepted; without the store for 1.5 s at most.  */
void bl_passthrough_note_recorded (struct bl_passthrough *pass,
                                   uint64_t now,
                                   uint32_t seq);
/* Copies the flow table for the next process of this agent into OUT, which must
   be released with bl_handover_clear.  To be called after bl_passthrough_stop,
   which ends the acceptance of flows.  Returns BL_ENOTFOUND if there is no
   backend server, BL_ERANGE if there are more than BL_HANDOVER_FLOWS_MAX flows,
   or BL_ENOMEM.  */
int bl_passthrough_hand_over (struct bl_passthrough *pass,
                              uint64_t now,
                              struct bl_handover *out);
/* Takes over the flow table of an earlier process, as read from the platform's
   store in STORE_ERA.  PREVIOUS is the incarnation in this agent's record in
   the store before the first write.  Returns false if HANDOVER is not that of
   the last process before this one.  */
bool bl_passthrough_take_over (struct bl_passthrough *pass,
                               uint64_t now,
                               const struct bl_handover *handover,
                               uint64_t previous,
                               uint64_t store_era);
/* To be called when it is known that no flow table can be taken over, or when
   it was.  Until then, for a moment at most, owner queries that cannot be
   decided are not answered.  */
void bl_passthrough_settle_handover (struct bl_passthrough *pass, uint64_t now);
/* Returns the newest era of the platform's store that a balancer has told of; 0
   if none has.  */
uint64_t bl_passthrough_store_era (const struct bl_passthrough *pass);
const struct bl_record *
bl_passthrough_record (const struct bl_passthrough *pass);
/* Returns true if the backend server has left, was never there, or is dead.  */
bool bl_passthrough_has_no_backend (const struct bl_passthrough *pass);
size_t bl_passthrough_flow_count (const struct bl_passthrough *pass);
uint32_t bl_passthrough_busy (const struct bl_passthrough *pass);
/* Returns the times from a request's first packet until its answer begins.  */
const struct bl_histogram *
bl_passthrough_service_times (const struct bl_passthrough *pass);
/* Returns the times from a flow's first packet until the backend server accepts
   it.  */
const struct bl_histogram *
bl_passthrough_accept_times (const struct bl_passthrough *pass);
uint64_t bl_passthrough_counter (const struct bl_passthrough *pass,
                                 enum bl_passthrough_counter counter);
const char *bl_passthrough_counter_name (enum bl_passthrough_counter counter);

#endif
