/* fleet.h -- the instances that a balancer knows, and how they answer  */

#ifndef BL_FLEET_H
#define BL_FLEET_H

#include "core/store.h"

#include <uthash.h>

struct bl_instance;

/* An address of an instance, to find it by what it sends.  */
struct bl_address_entry
{
  uint64_t key; /* 0: not in the table */
  struct bl_instance *target;
  UT_hash_handle hh;
};

/* The agents of a service that have not left.  */
struct bl_service_agents
{
  uint64_t service; /* hash of its name */
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
  uint64_t service;         /* hash of its service's name */
  uint64_t born;            /* start of the backend server; 0: not known */
  uint64_t last_message_ms; /* last message from it; 0: never */
  uint64_t asked_ms; /* oldest question without an answer; 0: none open */
  uint64_t pinged_ms;
  bool suspect; /* has left a question open for too long */
  bool
      unreachable; /* has answered nothing for so long that it counts as gone */
  uint64_t config_version; /* a balancer's */
  uint64_t round_ms;       /* of comparison it was asked in; 0: none open */
  /* Load, as last told, and what was placed there since.  */
  uint32_t busy;
  uint32_t flows;
  uint32_t placed;
  uint64_t
      warm_up_start_ms; /* since when it takes new flows; 0: not yet seen to */
  struct bl_address_entry data;      /* where its packets come from */
  struct bl_address_entry control;   /* and its messages */
  struct bl_service_agents *servers; /* that it is among; NULL: none */
  size_t position;                   /* in these */
  UT_hash_handle hh;
};

/* Answers that a question may wait for before its target is suspected, and
   before it counts as gone.  */
#define BL_SUSPECT_MS     150
#define BL_UNREACHABLE_MS 1000
/* How long after its last word an instance that stopped in order to start again
   is waited for.  */
#define BL_RESTART_MAX_MS 8000

struct bl_fleet
{
  struct bl_store *store;             /* owned */
  struct bl_instance *instances;      /* owned; by name */
  struct bl_address_entry *places;    /* of those that have not left */
  struct bl_service_agents *services; /* owned */
  size_t backend_count;
  size_t unreachable_count; /* agents that count as gone */
  size_t suspect_count;     /* agents that leave a question open */
  size_t responsive_count;  /* agents heard within BL_UNREACHABLE_MS, and not
                               suspect */
  bool isolated;            /* questions are open and hardly anyone answers */
};

int bl_fleet_init (struct bl_fleet *fleet);
void bl_fleet_clear (struct bl_fleet *fleet);
/* Takes RECORD in when it replaces what is held.  Returns its target, or NULL
   when the record is no news or has left.  */
struct bl_instance *bl_fleet_apply_record (struct bl_fleet *fleet,
                                           uint64_t now,
                                           const struct bl_record *record);
struct bl_instance *bl_fleet_find (const struct bl_fleet *fleet,
                                   const struct bl_name *id);
/* The target whose packets or messages come from ADDR, or NULL.  */
struct bl_instance *bl_fleet_find_by_address (const struct bl_fleet *fleet,
                                              struct bl_addr addr);
/* The agents of a service, or NULL when none was ever known.  */
const struct bl_service_agents *
bl_fleet_service_agents (const struct bl_fleet *fleet, uint64_t service);
/* Whether TARGET is silent for good, as far as can be told: dark, and not on
   its way back from a stop that it announced.  */
bool bl_instance_is_gone (const struct bl_instance *target, uint64_t now);
void bl_instance_note_message (struct bl_instance *target, uint64_t now);
/* Notes a question to TARGET, whose silence will count against it.  */
void bl_instance_note_request (struct bl_instance *target, uint64_t now);
/* Marks who has been silent for too long.  */
void bl_fleet_update_reachability (struct bl_fleet *fleet, uint64_t now);
/* While some agents leave questions open, so many others are asked often: their
   answers show that this process is not cut off itself.  */
#define BL_ISOLATION_PROBES 6
/* Whether silence tells of the others rather than of this process: enough
   agents have answered within BL_UNREACHABLE_MS.  */
bool bl_fleet_is_connected (const struct bl_fleet *fleet);
struct bl_addr bl_instance_data_address (const struct bl_instance *target);
struct bl_addr bl_instance_control_address (const struct bl_instance *target);

#endif
