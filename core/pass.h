/* pass.h -- an agent whose backend server ends flows itself

   Hands packets to the backend server beside it, watches what comes back,
   and tells balancers.  Opens no socket and reads no clock.  */

#ifndef BL_PASS_H
#define BL_PASS_H

#include "core/histogram.h"
#include "core/link.h"

struct bl_pass;

struct bl_pass_settings
{
  struct bl_record self; /* id, data centre, service, addresses, incarnation */
  uint64_t heartbeat_ms; /* the backend server announces itself so often */
  size_t seed_count;
  struct bl_addr seeds[BL_SEEDS_MAX]; /* control addresses of balancers */
};

/* What a backend server says of itself.  */
struct bl_heartbeat
{
  struct bl_name id;
  struct bl_name service;
  struct bl_addr address;
  bool draining;
  uint32_t slots;   /* requests that it runs at once */
  uint32_t warm_ms; /* it stays slow for so long */
  uint64_t born;    /* its start, milliseconds since 1970; 0: not told */
  uint64_t seq;     /* counts its heartbeats */
};

struct bl_pass_ops
{
  /* Gives a packet to the backend server; TOKEN comes back with a packet that
     it returns.  */
  void (*deliver) (void *ctx,
                   const uint8_t *packet,
                   size_t len,
                   uint32_t token);
  /* Sends a packet of the backend server to the caller.  */
  void (*answer) (void *ctx, uint32_t ip, const uint8_t *packet, size_t len);
  /* Sends LINK, and PACKET after it unless LEN is 0, to a balancer.  */
  void (*to_balancer) (void *ctx,
                       struct bl_addr to,
                       const struct bl_link_msg *link,
                       const uint8_t *packet,
                       size_t len);
  /* Sends a control message.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Tries to connect to the backend server; the outcome comes back through
     bl_pass_checked.  */
  void (*check) (void *ctx);
  /* The own record changed and is to be kept in the platform's store.  */
  void (*publish) (void *ctx, const struct bl_record *record);
  void (*decided) (void *ctx,
                   const char *what,
                   const char *why,
                   const struct bl_flow_key *flow,
                   uint64_t age_ms);
};

enum bl_pass_counter
{
  BL_PASS_DELIVERED,      /* packets given to the backend server */
  BL_PASS_ANSWERED,       /* packets sent to callers */
  BL_PASS_ACCEPTED,       /* flows that the backend server took */
  BL_PASS_REFUSED,        /* first packets that were turned away */
  BL_PASS_RETURNED,       /* packets of flows that it does not hold */
  BL_PASS_WRONG_SERVICE,  /* packets for another service */
  BL_PASS_BAD,            /* packets or messages malformed */
  BL_PASS_NO_ROOM,        /* flows not noted for want of room */
  BL_PASS_HEARTBEATS,     /* taken in */
  BL_PASS_BAD_HEARTBEATS, /* of another service, or late */
  BL_PASS_COUNTERS,
};

struct bl_pass *bl_pass_new (const struct bl_pass_settings *settings,
                             const struct bl_pass_ops *ops,
                             void *ctx);
void bl_pass_free (struct bl_pass *pass);
/* To be called every 10 to 50 ms.  */
void bl_pass_tick (struct bl_pass *pass, uint64_t now);
/* A message of the balancer at FROM; P and BYTES are the packet after it, NULL
   when there is none.  */
void bl_pass_link (struct bl_pass *pass,
                   uint64_t now,
                   struct bl_addr from,
                   const struct bl_link_msg *link,
                   const struct bl_packet *p,
                   const uint8_t *bytes,
                   size_t len);
/* A packet that the backend server sends to a caller.  P->key is told from the
   caller's side.  */
void bl_pass_outgoing (struct bl_pass *pass,
                       uint64_t now,
                       const struct bl_packet *p,
                       const uint8_t *bytes,
                       size_t len);
/* A packet of a caller that the backend server returns, with the TOKEN that it
   was delivered with.  */
void bl_pass_returned (struct bl_pass *pass,
                       uint64_t now,
                       const struct bl_packet *p,
                       uint32_t token,
                       const uint8_t *bytes,
                       size_t len);
int bl_pass_message (struct bl_pass *pass,
                     uint64_t now,
                     struct bl_addr from,
                     const uint8_t *buf,
                     size_t len);
/* Returns BL_OK, or BL_ESTALE for one that a later one has overtaken, or
   BL_EFORMAT for another service's.  */
int bl_pass_heartbeat (struct bl_pass *pass,
                       uint64_t now,
                       const struct bl_heartbeat *beat);
/* The backend server ID ends.  */
int
bl_pass_leave (struct bl_pass *pass, uint64_t now, const struct bl_name *id);
/* Whether a connection to the backend server could be opened.  */
void bl_pass_checked (struct bl_pass *pass, uint64_t now, bool alive);
/* This process ends: tells balancers whether the backend server stays.  */
void bl_pass_stop (struct bl_pass *pass, uint64_t now);
const struct bl_record *bl_pass_record (const struct bl_pass *pass);
/* The backend server has left, or was never there.  */
bool bl_pass_is_empty (const struct bl_pass *pass);
size_t bl_pass_flow_count (const struct bl_pass *pass);
uint32_t bl_pass_busy (const struct bl_pass *pass);
/* From a request's first packet until its answer begins.  */
const struct bl_histogram *bl_pass_service_times (const struct bl_pass *pass);
/* From a first packet until the backend server accepts it.  */
const struct bl_histogram *bl_pass_accept_times (const struct bl_pass *pass);
uint64_t bl_pass_counter (const struct bl_pass *pass,
                          enum bl_pass_counter counter);
const char *bl_pass_counter_name (enum bl_pass_counter counter);

#endif
