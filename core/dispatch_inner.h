/* dispatch_inner.h -- the inside of a dispatcher, shared by its modules  */

#ifndef BL_DISPATCH_INNER_H
#define BL_DISPATCH_INNER_H

#include "core/dispatch.h"
#include "core/msg.h"

#include <uthash.h>

#define BL_TRIES_MAX 4 /* backend servers that one first packet is offered */

/* A first packet's offer to one backend server.  */
struct bl_try
{
  struct bl_target *target;
  uint64_t sent_ms;
  uint64_t born; /* of the backend server that accepted */
  uint32_t seq;  /* its initial sequence number */
  bool accepted;
  bool refused;
};

#define BL_PASSING_MAX 65536 /* flows known; about 45 MB of memory */
#define BL_HELD_MAX    16    /* packets that a caller may have in flight */

struct bl_held
{
  uint8_t *ptr; /* owned */
  size_t len;
};

enum bl_phase
{
  BL_PHASE_OPENING,   /* offered; the caller has not chosen an answer yet */
  BL_PHASE_OPEN,      /* the owner is known */
  BL_PHASE_SEARCHING, /* agents are asked who owns it */
};

enum bl_reply
{
  BL_REPLY_NONE,
  BL_REPLY_DENIED,
  BL_REPLY_UNSURE,
  BL_REPLY_PROBED, /* was offered the packet, and has not returned it yet */
};

/* An agent that was asked whether it owns a flow.  */
struct bl_asked
{
  struct bl_target *target;
  enum bl_reply reply;
};

struct bl_inquiry
{
  uint32_t ack; /* acknowledgement number that agents were asked about */
  uint64_t started_ms;
  uint64_t probed_ms; /* when the packet was last offered to unsure ones */
  size_t count;
  size_t cap;
  struct bl_asked *asked; /* owned */
  size_t probed;          /* how many have it and have not returned it */
  bool everywhere;        /* not only the route's own services were asked */
};

struct bl_passing
{
  struct bl_flow_key key;
  enum bl_phase phase;
  uint64_t service; /* hash of the service it was placed in */
  uint64_t touched_ms;
  uint64_t since_ms;  /* of the phase */
  uint32_t first_seq; /* of the caller's first packet */
  uint32_t last_ack;  /* of the caller's last packet */
  struct bl_target *owner;
  uint64_t owner_born;
  uint64_t owner_incarnation;
  size_t try_count;
  struct bl_try tries[BL_TRIES_MAX];
  struct bl_inquiry inquiry;
  /* Packets that wait for an owner, or a first packet that may have to be
     offered again; in order of arrival.  */
  size_t held_count;
  struct bl_held held[BL_HELD_MAX];
  bool held_data; /* one of them carries bytes of the caller */
  bool pending;   /* in the list of flows with something to wait for */
  struct bl_passing *prev;
  struct bl_passing *next;
  UT_hash_handle hh;
};

struct bl_dispatch
{
  struct bl_dispatch_settings settings;
  struct bl_dispatch_ops ops;
  void *ctx;
  struct bl_random random;
  uint64_t now; /* of the call under way */
  uint64_t started_ms;
  struct bl_fleet fleet;
  struct bl_table *table; /* owned; NULL before the first */
  struct bl_passing *flows;
  struct bl_passing *pending;
  uint64_t next_sweep_ms;
  uint64_t next_members_ms;
  uint64_t next_seed_ms;
  uint64_t next_compare_ms;
  uint64_t next_records_ms; /* records are pulled not before */
  uint64_t next_share_ms;   /* records are sent not before */
  uint64_t round_ms;     /* when the last round of comparisons began; 0: none */
  size_t round_left;     /* balancers asked in it that have not agreed yet */
  uint64_t confirmed_ms; /* beginning of the last round that has ended */
  uint64_t next_pull_ms;
  uint64_t listed_ms; /* when the store's list of instances was read; 0: not */
  bool vouched;  /* a balancer that knows all agents held the same records */
  bool has_news; /* other balancers are to be told of newer routes */
  struct bl_buffer buffer;
  size_t class_count;
  struct bl_dispatch_class classes[BL_DISPATCH_CLASSES];
  uint64_t counters[BL_DISPATCH_COUNTERS];
};

/* A caller's packet with its bytes.  */
struct bl_bytes
{
  const struct bl_packet *packet;
  const uint8_t *ptr;
  size_t len;
};

struct bl_choice
{
  /* Whom F is offered to next, or NULL.  */
  struct bl_target *(*choose) (struct bl_dispatch *d,
                               const struct bl_passing *f);
  const char *name;
};

/* dispatch_choose.c */
const struct bl_choice *bl_dispatch_choice (const struct bl_dispatch *d);
/* Up to MAX agents of a service; first those that a new flow of KEY would be
   drawn from.  Returns how many.  */
size_t bl_choice_agents (const struct bl_dispatch *d,
                         const struct bl_flow_key *key,
                         uint64_t service,
                         struct bl_target **out,
                         size_t max);

/* dispatch.c */
/* A new flow, or NULL when there is no room.  */
struct bl_passing *bl_passing_add (struct bl_dispatch *d,
                                   const struct bl_flow_key *key);
struct bl_passing *bl_passing_find (struct bl_dispatch *d,
                                    const struct bl_flow_key *key);
void bl_passing_remove (struct bl_dispatch *d, struct bl_passing *f);
/* Keeps a copy of a packet; one too many is dropped.  */
void bl_passing_hold (struct bl_passing *f, const struct bl_bytes *b);
void bl_passing_release (struct bl_passing *f);
void bl_passing_wait (struct bl_dispatch *d, struct bl_passing *f, bool wait);
void bl_passing_open (struct bl_dispatch *d,
                      struct bl_passing *f,
                      struct bl_target *owner,
                      uint64_t born);
void bl_dispatch_forward (struct bl_dispatch *d,
                          const struct bl_passing *f,
                          struct bl_target *to,
                          const uint8_t *packet,
                          size_t len);
void bl_dispatch_note (struct bl_dispatch *d,
                       const char *what,
                       const char *why,
                       const struct bl_flow_key *flow,
                       const struct bl_target *target,
                       uint64_t age_ms);
/* The class of flows of a route at one of its services; NULL without a route.
 */
struct bl_dispatch_class *bl_dispatch_class_of (struct bl_dispatch *d,
                                                const struct bl_flow_key *key,
                                                uint64_t service);
/* Resets the caller and forgets the flow.  */
void bl_dispatch_end (struct bl_dispatch *d,
                      struct bl_passing *f,
                      enum bl_dispatch_counter counter,
                      const char *why);

/* dispatch_state.c */
void bl_dispatch_update_state (struct bl_dispatch *d);
/* The own record has changed; others hear of it with the next tick.  */
void bl_dispatch_tell_self (struct bl_dispatch *d, const char *why);
/* Whether the agents known are all there are, so that their denials together
   prove that nobody holds a flow.  */
bool bl_dispatch_knows_all (const struct bl_dispatch *d);

/* dispatch_place.c */
/* Offers the held first packet to one more backend server.  False when there
   is none left.  */
bool bl_place_next (struct bl_dispatch *d, struct bl_passing *f);
void bl_place_first (struct bl_dispatch *d, const struct bl_bytes *b);
void bl_place_answer (struct bl_dispatch *d,
                      struct bl_passing *f,
                      struct bl_target *from,
                      const struct bl_link_msg *link);
/* The caller's choice among those that accepted; NULL when none fits ACK.  */
struct bl_try *bl_place_chosen (struct bl_passing *f, uint32_t ack);
void bl_place_wait (struct bl_dispatch *d, struct bl_passing *f);

/* dispatch_inquiry.c */
void bl_inquiry_start (struct bl_dispatch *d,
                       struct bl_passing *f,
                       const struct bl_bytes *b);
/* A further packet, while agents are being asked.  */
void bl_inquiry_packet (struct bl_dispatch *d,
                        struct bl_passing *f,
                        const struct bl_bytes *b);
void bl_inquiry_answer (struct bl_dispatch *d,
                        struct bl_passing *f,
                        struct bl_target *from,
                        const struct bl_link_msg *link);
/* The backend server of FROM does not hold the flow; RETURNED is the packet
   that showed it.  */
void bl_inquiry_returned (struct bl_dispatch *d,
                          struct bl_passing *f,
                          struct bl_target *from,
                          const struct bl_bytes *returned);
void bl_inquiry_wait (struct bl_dispatch *d, struct bl_passing *f);

/* dispatch_members.c */
void bl_members_tick (struct bl_dispatch *d);
/* Asks T for its status.  */
void bl_members_ask (struct bl_dispatch *d, struct bl_target *t);
void
bl_members_send (struct bl_dispatch *d, struct bl_addr to, struct bl_msg *msg);
int bl_members_message (struct bl_dispatch *d,
                        struct bl_addr from,
                        const struct bl_msg *msg);

/* dispatch_compare.c */
void bl_compare_tick (struct bl_dispatch *d);
/* PEER, a balancer, has told the digest of its records.  */
void bl_compare_digest (struct bl_dispatch *d,
                        struct bl_target *peer,
                        const struct bl_msg *msg);
/* Sends records that the asker of PULL does not hold.  BL_EFORMAT.  */
int bl_compare_answer (struct bl_dispatch *d,
                       struct bl_addr from,
                       const struct bl_msg *pull);
/* Whether other balancers were asked after SINCE_MS for what they know, and
   have had time to tell it, or there is none to ask.  Asks them if not.  */
bool bl_compare_confirmed (struct bl_dispatch *d, uint64_t since_ms);

#endif
