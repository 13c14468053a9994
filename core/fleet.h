/* fleet.h -- the instances that a balancer tracks, and their reachability  */

#ifndef BL_FLEET_H
#define BL_FLEET_H

#include "core/store.h"

#include <uthash.h>

struct bl_instance;

/* Entry of the table that maps a source address to its instance.  */
struct bl_address_entry
{
  uint64_t key; /* 0: not in the table */
  struct bl_instance *instance;
  UT_hash_handle hh;
};

/* The agents of a service, except those that have left.  */
struct bl_service_agents
{
  uint64_t service; /* hash of the service's name */
  size_t count;
  size_t cap;
  struct bl_instance **items; /* owned */
  UT_hash_handle hh;
};

/* An instance: an agent with its backend server, or another balancer.  */
struct bl_instance
{
  struct bl_name id;
  uint64_t id_hash;
  struct bl_record record;
  uint64_t service;             /* hash of the service's name */
  uint64_t backend_start;       /* start of the backend server; 0: not known */
  uint64_t record_ms;           /* receipt of its record */
  uint64_t last_message_ms;     /* receipt of its last message; 0: none */
  uint64_t unanswered_since_ms; /* oldest unanswered request; 0: none */
  uint64_t status_request_ms;   /* sending of the last status request */
  bool suspect;     /* a request is unanswered for over BL_SUSPECT_MS */
  bool unreachable; /* a request is unanswered for over BL_UNREACHABLE_MS */
  uint64_t config_version; /* a balancer's version of the routes */
  /* What an agent last reported: the era of the platform's store, and the time
     without packets after which flows may be discarded.  */
  uint64_t store_era;
  uint32_t idle_ms;
  uint64_t tell_ms; /* when it is told of a change of these, at the earliest */
  uint64_t compare_round_ms;    /* start of the comparison round in which a
                                   status request is unanswered; 0: none */
  uint32_t busy;                /* requests in progress, as last reported */
  uint32_t flows;               /* open flows, as last reported */
  uint32_t placed_since_report; /* new flows placed there since the report */
  uint64_t warm_up_start_ms;    /* first seen ready, or restarted; 0: neither */
  struct bl_address_entry data_entry;    /* source address of its packets */
  struct bl_address_entry control_entry; /* source address of its messages */
  struct bl_service_agents *agents;      /* list that holds it; NULL: none */
  size_t position;                       /* in that list */
  UT_hash_handle hh;
};

/* Time that a request may stay unanswered until its instance is suspect, and
   until the instance is unreachable.  The latter is longer while all replies
   are slow.  */
#define BL_SUSPECT_MS     150
#define BL_UNREACHABLE_MS 1000
/* An instance that stops in order to restart does not count as gone for this
   long after its last message, or the receipt of its record.  */
#define BL_RESTART_MAX_MS 8000

struct bl_fleet
{
  struct bl_store *store;              /* owned */
  struct bl_instance *instances;       /* owned; by name */
  struct bl_address_entry *by_address; /* without instances that have left */
  struct bl_service_agents *services;  /* owned */
  /* Counts of agents that have not left, by bl_fleet_update_reachability.  */
  size_t backend_count;
  size_t unreachable_count;
  size_t suspect_count;
  size_t responsive_count; /* not suspect, message within BL_UNREACHABLE_MS */
  double reply_ms;         /* mean time until a message follows a request */
  bool isolated;           /* this process seems cut off from the network */
};

int bl_fleet_init (struct bl_fleet *fleet);
void bl_fleet_clear (struct bl_fleet *fleet);
/* Stores RECORD if it replaces what is held.  Returns its instance, or NULL
   if the record is not newer, the instance has left, or memory ran out.  */
struct bl_instance *bl_fleet_apply_record (struct bl_fleet *fleet,
                                           uint64_t now,
                                           const struct bl_record *record);
struct bl_instance *bl_fleet_find (const struct bl_fleet *fleet,
                                   const struct bl_name *id);
/* Returns the instance whose data or control address is ADDR, or NULL.  */
struct bl_instance *bl_fleet_find_by_address (const struct bl_fleet *fleet,
                                              struct bl_addr addr);
/* Returns the agents of a service, or NULL if it never had any.  */
const struct bl_service_agents *
bl_fleet_service_agents (const struct bl_fleet *fleet, uint64_t service);
/* Returns true if INSTANCE is unreachable and is not being restarted after a
   stop that it announced.  */
bool bl_instance_is_gone (const struct bl_instance *instance, uint64_t now);
/* Records the receipt of a message of INSTANCE, which clears suspicion.  */
void bl_fleet_note_message (struct bl_fleet *fleet,
                            struct bl_instance *instance,
                            uint64_t now);
/* Records a request to INSTANCE, which starts the time-outs unless an earlier
   request is unanswered.  */
void bl_instance_note_request (struct bl_instance *instance, uint64_t now);
/* Updates suspect and unreachable of all instances, the counts, and
   isolated.  */
void bl_fleet_update_reachability (struct bl_fleet *fleet, uint64_t now);
/* While some agents leave requests unanswered, this many others are sent status
   requests at a short interval, to detect whether this process is isolated.  */
#define BL_ISOLATION_PROBES 6
/* Returns true unless this process is isolated.  While it is isolated, missing
   replies are no evidence of the failure of other instances.  */
bool bl_fleet_is_connected (const struct bl_fleet *fleet);
struct bl_addr bl_instance_data_address (const struct bl_instance *instance);
struct bl_addr bl_instance_control_address (const struct bl_instance *instance);

#endif
