/* passthrough_inner.h -- state of a pass-through agent, shared by its modules
 */

#ifndef BL_PASSTHROUGH_INNER_H
#define BL_PASSTHROUGH_INNER_H

#include "core/class_load.h"
#include "core/msg.h"
#include "core/passthrough.h"

#include <uthash.h>

#define MONITORS_MAX  1024
#define BALANCERS_MAX 1024

/* Entry of the table of flows.  */
struct bl_passthrough_flow
{
  struct bl_flow_key key;
  uint64_t touched_ms; /* last packet of the caller or the server */
  uint64_t offered_ms; /* delivery of an unaccepted first packet; 0: none */
  uint64_t request_start_ms; /* start of the request under way; 0: none */
  uint32_t first_seq;        /* sequence number of the first packet */
  uint32_t next_seq;         /* next sequence number of the backend server */
  uint32_t caller_seq;       /* next sequence number of the caller's payload */
  bool next_seq_known;
  bool caller_seq_known;
  bool established;
  uint8_t class;         /* see core/class_load.h */
  bool closed;           /* FIN or RST seen */
  bool queued_behind;    /* the request under way found all slots taken */
  bool awaiting_request; /* opened, and no request has arrived yet */
  bool owner_reported;   /* BALANCER has been sent the owner */
  bool handed_over; /* from an earlier process; the server has not sent a packet
                       of it since */
  struct bl_addr balancer; /* source of the last packet; port 0: none */
  UT_hash_handle hh;
};

#define HELD_QUERIES_MAX 256

/* An owner query that is answered when the handover is known.  */
struct bl_held_query
{
  struct bl_addr from;
  struct bl_link_msg query;
};

/* What shows that no flow is missing in the flow table.  */
enum bl_evidence
{
  BL_EVIDENCE_NONE,       /* nothing does: flows may be missing */
  BL_EVIDENCE_NO_SERVER,  /* the server has left or is dead */
  BL_EVIDENCE_START_SEEN, /* no server ran, or it started after this process */
  BL_EVIDENCE_RECORD,     /* the record of the process before */
  BL_EVIDENCE_TABLE,      /* the table of the process before was taken over */
  BL_EVIDENCE_IDLE_TIME,  /* every live flow has had a packet since */
};

/* What the store's record tells of the process before this one.  */
enum bl_previous
{
  BL_PREVIOUS_UNKNOWN, /* the store was not read yet */
  BL_PREVIOUS_NONE,    /* there was none: the store has no record */
  BL_PREVIOUS_UNCLEAR, /* the record names no server, or cannot be read */
  BL_PREVIOUS_SERVED,  /* it names the server that was served last */
};

/* A balancer that requests status reports.  */
struct bl_monitor
{
  struct bl_addr addr;
  uint64_t last_request_ms;
};

struct bl_passthrough
{
  struct bl_passthrough_settings settings;
  struct bl_passthrough_ops ops;
  void *ctx;
  uint64_t now;        /* time of the current call */
  uint64_t started_ms; /* first tick; 0: none yet */
  bool stopping;
  struct bl_record self;
  struct bl_passthrough_flow *flows;
  uint32_t busy; /* flows with a request under way */
  struct bl_class_load load;
  /* The backend server.  */
  struct bl_name backend; /* empty: not known */
  uint64_t backend_start; /* milliseconds since 1970; 0: not known */
  uint64_t heartbeat_seq;
  uint64_t last_heartbeat_ms; /* 0: none */
  /* Last heartbeat that was behind the last one taken.  */
  uint64_t behind_start;
  uint64_t behind_seq;
  uint64_t behind_ms;
  bool backend_left;
  /* No server ran, or it started since this process did.  Rules out flows that
     are older than this process.  */
  bool backend_start_seen;
  /* The server started at about the same time as this process, as after a loss
     of power.  That rules out older flows only if the record of the earlier
     process in the store names another server.  */
  bool started_with_backend;
  enum bl_previous previous;
  uint64_t previous_backend_start; /* 0 unless it is BL_PREVIOUS_SERVED */
  bool handover_settled; /* the store was read for the flow table of the process
                            before, or nothing is expected from it */
  size_t held_query_count;
  struct bl_held_query held_queries[HELD_QUERIES_MAX];
  /* The flow table of the process before this one was taken over.  */
  bool taken_over;
  uint64_t taken_over_from; /* incarnation of that process */
  enum bl_evidence logged_evidence;
  /* Flows are accepted once the store has a record of this process that names
     no other server than the present one.  */
  uint32_t recorded_seq;        /* version that the store has; 0: none */
  uint32_t needed_seq;          /* first version that does not name another */
  uint64_t unrecorded_since_ms; /* start of this process or of the server */
  bool ready_withheld;          /* the server accepts flows already */
  uint64_t unanswered_since_ms; /* oldest unanswered packet; 0: none */
  bool check_requested;         /* it returned a packet that it should accept */
  uint64_t last_check_ms;
  unsigned start_checks; /* checks made while STARTING */
  /* Balancers.  */
  size_t monitor_count;
  struct bl_monitor monitors[MONITORS_MAX];
  size_t balancer_count;
  struct bl_addr balancers[BALANCERS_MAX]; /* sources of packets, by token */
  /* Time without packets after which flows may be discarded, from the balancer
     with the newest routes.  */
  uint32_t idle_ms;
  uint64_t routes_version; /* of those routes */
  uint64_t store_era;      /* newest that a balancer has told of; 0: none */
  uint64_t next_seed_ms;
  uint64_t next_sweep_ms;
  struct bl_buffer buffer;
  struct bl_histogram accept_times;
  struct bl_histogram service_times;
  uint64_t counters[BL_PASSTHROUGH_COUNTERS];
};

/* passthrough.c */
struct bl_passthrough_flow *
bl_passthrough_find_flow (struct bl_passthrough *pass,
                          const struct bl_flow_key *key);
/* Returns the flow of KEY, which is created if needed; NULL if the table is
   full.  */
struct bl_passthrough_flow *
bl_passthrough_get_flow (struct bl_passthrough *pass,
                         const struct bl_flow_key *key);
void bl_passthrough_remove_flows (struct bl_passthrough *pass);
/* Sends the changed record to all balancers and to the platform's store; REASON
   is for the log.  */
void bl_passthrough_announce (struct bl_passthrough *pass, const char *reason);
void bl_passthrough_set_state (struct bl_passthrough *pass,
                               enum bl_instance_state state,
                               const char *reason);

/* passthrough_backend.c */
void bl_passthrough_check_backend (struct bl_passthrough *pass);

/* passthrough_history.c */
/* Returns what shows that the flow table is complete, and logs a change.  */
enum bl_evidence bl_passthrough_evidence (struct bl_passthrough *pass);
/* Notes what the first heartbeat of a server tells about flows that are older
   than this process.  A server that started after it has got all its packets
   from it. One that is a little older may hold flows that an earlier process of
   this agent delivered.  */
void
bl_passthrough_note_start_of_backend (struct bl_passthrough *pass,
                                      const struct bl_heartbeat *heartbeat);
/* Requires that the store gets a new version of the own record before flows are
   accepted, since the server is not the one that it names.  */
void bl_passthrough_require_record (struct bl_passthrough *pass);
/* Returns STATE, or STARTING instead of READY while no flow may be accepted. */
enum bl_instance_state
bl_passthrough_allowed_state (struct bl_passthrough *pass,
                              enum bl_instance_state state);
/* Changes the state to READY if it was withheld and flows may be accepted.  */
void bl_passthrough_release_ready (struct bl_passthrough *pass);
/* Handles the incarnation under which a balancer knows this agent.  If that is
   a process between the one whose flow table was taken over and this one, flows
   that it accepted are missing.  */
void bl_passthrough_note_process_between (struct bl_passthrough *pass,
                                          uint64_t incarnation);

#endif
