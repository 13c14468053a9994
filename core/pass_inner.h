/* pass_inner.h -- the inside of a pass-through agent, shared by its modules  */

#ifndef BL_PASS_INNER_H
#define BL_PASS_INNER_H

#include "core/msg.h"
#include "core/pass.h"

#include <uthash.h>

#define WATCHERS_MAX 1024
#define ASKERS_MAX   1024

struct bl_pass_flow
{
  struct bl_flow_key key;
  uint64_t touched_ms;
  uint64_t offered_ms; /* its first packet, not accepted yet; 0: none */
  uint64_t busy_ms;    /* since when a request is under way; 0: none is */
  uint32_t first_seq;
  uint32_t next; /* sequence number that the backend server sends next */
  bool next_known;
  bool open;
  bool closed;
  bool opening; /* no request has come on it yet */
  bool told;    /* the asker knows that the flow is here */
  struct bl_addr asker;
  UT_hash_handle hh;
};

struct bl_watcher
{
  struct bl_addr addr;
  uint64_t heard_ms;
};

struct bl_pass
{
  struct bl_pass_settings settings;
  struct bl_pass_ops ops;
  void *ctx;
  uint64_t now; /* of the call under way */
  uint64_t started_ms;
  bool stopping;
  struct bl_record self;
  struct bl_pass_flow *flows;
  uint32_t busy;
  uint32_t opening; /* flows that will bring a request at once */
  /* The backend server.  */
  struct bl_name backend; /* empty: not known */
  uint64_t born;
  uint64_t beat_seq;
  uint64_t beat_ms; /* last heartbeat; 0: none */
  /* Last heartbeat that named an earlier start.  */
  uint64_t early_born;
  uint64_t early_seq;
  uint64_t early_ms;
  bool left;
  bool watched;           /* no flow can be older than this process */
  bool together;          /* the same, for both started in one moment */
  uint64_t unanswered_ms; /* oldest packet without an answer; 0: none */
  bool doubted;           /* it returned what it should have taken */
  uint64_t checked_ms;
  unsigned start_checks;
  /* Balancers.  */
  size_t watcher_count;
  struct bl_watcher watchers[WATCHERS_MAX];
  size_t asker_count;
  struct bl_addr askers[ASKERS_MAX];
  uint64_t next_seed_ms;
  uint64_t next_sweep_ms;
  struct bl_buffer buffer;
  struct bl_histogram accepts;
  struct bl_histogram services;
  uint64_t counters[BL_PASS_COUNTERS];
};

/* pass.c */
void bl_pass_forget_all (struct bl_pass *p);
/* The record changed: everybody is told, and the store.  */
void bl_pass_announce (struct bl_pass *p, const char *why);
void bl_pass_set_state (struct bl_pass *p,
                        enum bl_instance_state state,
                        const char *why);

/* pass_backend.c */
void bl_pass_check_backend (struct bl_pass *p);

#endif
