/* pass.h -- an agent whose backend server ends flows itself

   Hands packets to the backend server beside it, watches what comes back,
   and tells balancers.  Opens no socket and reads no clock.  */

#ifndef BL_PASS_H
#define BL_PASS_H

#include "core/histogram.h"
#include "core/link.h"

struct bl_passthrough;

struct bl_passthrough_settings
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
  uint32_t slots;      /* requests that it runs at once */
  uint32_t warm_up_ms; /* it stays slow for so long */
  uint64_t born;       /* its start, milliseconds since 1970; 0: not told */
  uint64_t seq;        /* counts its heartbeats */
};

struct bl_passthrough_ops
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
  void (*send_to_balancer) (void *ctx,
                            struct bl_addr to,
                            const struct bl_link *link,
                            const uint8_t *packet,
                            size_t len);
  /* Sends a control message.  */
  void (*send) (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len);
  /* Tries to connect to the backend server; the outcome comes back through
     bl_passthrough_check_result.  */
  void (*check) (void *ctx);
  /* The own record changed and is to be kept in the platform's store.  */
  void (*publish) (void *ctx, const struct bl_record *record);
  void (*decided) (void *ctx,
                   const char *what,
                   const char *why,
                   const struct bl_flow_key *flow,
                   uint64_t age_ms);
};

enum bl_passthrough_counter
{
  BL_PASSTHROUGH_DELIVERED,     /* packets given to the backend server */
  BL_PASSTHROUGH_ANSWERED,      /* packets sent to callers */
  BL_PASSTHROUGH_ACCEPTED,      /* flows that the backend server took */
  BL_PASSTHROUGH_REFUSED,       /* first packets that were turned away */
  BL_PASSTHROUGH_RETURNED,      /* packets of flows that it does not hold */
  BL_PASSTHROUGH_WRONG_SERVICE, /* packets for another service */
  BL_PASSTHROUGH_MALFORMED,     /* packets or messages malformed */
  BL_PASSTHROUGH_NO_ROOM,       /* flows not noted for want of room */
  BL_PASSTHROUGH_HEARTBEATS,    /* taken in */
  BL_PASSTHROUGH_IGNORED_HEARTBEATS, /* of another service, or late */
  BL_PASSTHROUGH_COUNTERS,
};

struct bl_passthrough *
bl_passthrough_new (const struct bl_passthrough_settings *settings,
                    const struct bl_passthrough_ops *ops,
                    void *ctx);
void bl_passthrough_free (struct bl_passthrough *pass);
/* To be called every 10 to 50 ms.  */
void bl_passthrough_tick (struct bl_passthrough *pass, uint64_t now);
/* A message of the balancer at FROM; P and BYTES are the packet after it, NULL
   when there is none.  */
void bl_passthrough_link (struct bl_passthrough *pass,
                          uint64_t now,
                          struct bl_addr from,
                          const struct bl_link *link,
                          const struct bl_packet *p,
                          const uint8_t *bytes,
                          size_t len);
/* A packet that the backend server sends to a caller.  P->key is told from the
   caller's side.  */
void bl_passthrough_outgoing (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_packet *p,
                              const uint8_t *bytes,
                              size_t len);
/* A packet of a caller that the backend server returns, with the TOKEN that it
   was delivered with.  */
void bl_passthrough_returned (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_packet *p,
                              uint32_t token,
                              const uint8_t *bytes,
                              size_t len);
int bl_passthrough_message (struct bl_passthrough *pass,
                            uint64_t now,
                            struct bl_addr from,
                            const uint8_t *buf,
                            size_t len);
/* Returns BL_OK, or BL_ESTALE for one that a later one has overtaken, or
   BL_EFORMAT for another service's.  */
int bl_passthrough_heartbeat (struct bl_passthrough *pass,
                              uint64_t now,
                              const struct bl_heartbeat *beat);
/* The backend server ID ends.  */
int bl_passthrough_leave (struct bl_passthrough *pass,
                          uint64_t now,
                          const struct bl_name *id);
/* Whether a connection to the backend server could be opened.  */
void bl_passthrough_check_result (struct bl_passthrough *pass,
                                  uint64_t now,
                                  bool alive);
/* This process ends: tells balancers whether the backend server stays.  */
void bl_passthrough_stop (struct bl_passthrough *pass, uint64_t now);
const struct bl_record *
bl_passthrough_record (const struct bl_passthrough *pass);
/* The backend server has left, or was never there.  */
bool bl_passthrough_has_no_backend (const struct bl_passthrough *pass);
size_t bl_passthrough_flow_count (const struct bl_passthrough *pass);
uint32_t bl_passthrough_busy (const struct bl_passthrough *pass);
/* From a request's first packet until its answer begins.  */
const struct bl_histogram *
bl_passthrough_service_times (const struct bl_passthrough *pass);
/* From a first packet until the backend server accepts it.  */
const struct bl_histogram *
bl_passthrough_accept_times (const struct bl_passthrough *pass);
uint64_t bl_passthrough_counter (const struct bl_passthrough *pass,
                                 enum bl_passthrough_counter counter);
const char *bl_passthrough_counter_name (enum bl_passthrough_counter counter);

#endif
