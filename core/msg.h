/* msg.h -- control messages between instances  */

#ifndef BL_MSG_H
#define BL_MSG_H

#include "boragelatch.h"

#define BL_MSG_VERSION      1
#define BL_DATAGRAM_MAX     1400 /* bytes; not fragmented on usual networks */
#define BL_MSG_RECORDS_MAX  2048 /* records in one message */
#define BL_MSG_SERVICES_MAX 256  /* services in one message */
#define BL_MSG_BYTES_MAX    (1024 * 1024)

enum bl_msg_type
{
  /* Failure detection among balancers.  */
  BL_MSG_PING = 1, /* requests an ACK; of an agent, an ANNOUNCE */
  BL_MSG_ACK,      /* reply to PING and PING_REQ */
  BL_MSG_PING_REQ, /* requests a ping of the balancer SUBJECT on behalf of the
                      sender; if SUBJECT is an agent, the reply states in
                      AFFIRMATIVE whether it sent an ANNOUNCE recently */
  BL_MSG_PUSH,     /* pushes updates: RECORDS, or only CONFIG_VERSION */

  /* Heartbeat of an agent to a balancer that monitors it.  SEQ and INCARNATION
     are those of its record, which is RECORDS[0] unless the balancer holds it
     already.  CONFIG_VERSION is the version of the service that the agent
     applied, DIGEST that of the list of balancers that it holds.  */
  BL_MSG_ANNOUNCE,
  /* Reply, also sent when the service changed.  SEQ is the version of the
     agent's record held, and AFFIRMATIVE is set if the record states that the
     agent is suspect, left or dead.  DIGEST is that of the service.  RECORDS
     are the balancers that monitor the agent, unless it holds them already.  */
  BL_MSG_ANNOUNCE_ACK,

  /* From agent to agent.  */
  BL_MSG_LOAD,         /* LOAD, FLOWS, WARM_UP_SHARE of the sender */
  BL_MSG_OWNER_QUERY,  /* owner lookup: does the receiver own FLOW, of which the
                          sender has a packet with ACK */
  BL_MSG_OWNER_ANSWER, /* reply: AFFIRMATIVE if the sender owns FLOW */
  BL_MSG_OWNER_NOTICE, /* SUBJECT owns FLOW */

  /* Pulls from a balancer, and the replies.  */
  BL_MSG_PULL_RECORDS, /* BUCKETS are the digests of the sender */
  BL_MSG_RECORDS,      /* reply: RECORDS of the buckets that differ */
  BL_MSG_PULL_CONFIG,  /* requests the changes after CONFIG_VERSION */
  BL_MSG_CONFIG,       /* reply, also pushed: SERVICES changed after
                          CONFIG_FROM, up to CONFIG_VERSION */
  BL_MSG_PULL_VIEW,    /* requests the service SUBJECT */
  BL_MSG_VIEW,         /* reply: SERVICES[0], RECORDS of its backend servers,
                          DCS_WITHOUT_BALANCERS */

  /* Status query of a balancer to any instance.  SEQ and INCARNATION are those
     of the receiver's record that the sender holds.  STORE_ERA is the newest
     era of the platform's store that the sender has heard of, in the reply too.
     CONFIG_VERSION is that of the sender's routes, and IDLE_MS the time without
     packets after which these allow flows to be discarded; an agent replies
     with the IDLE_MS that it follows.  */
  BL_MSG_STATUS_QUERY,
  /* Reply, also sent unrequested at a change.  From an agent: LOAD is the
     number of running requests, FLOWS the number of open flows, and DIGEST the
     start time of the backend server.  From a balancer: CONFIG_VERSION and
     DIGEST are those held, and AFFIRMATIVE is set if its records of agents are
     complete.  RECORDS[0] is the record of the sender, if the receiver holds
     another version.  */
  BL_MSG_STATUS,
  BL_MSG_TYPE_END,
};

/* A message of any type.  Members that a type does not use are zero and take
   one byte each when encoded.  */
struct bl_msg
{
  enum bl_msg_type type;
  struct bl_name from;    /* sender */
  struct bl_name subject; /* instance or service concerned; may be empty */
  uint64_t seq;           /* of a request, repeated in its reply, or of a
                             record */
  uint64_t incarnation;   /* of the record that SEQ belongs to */
  union
  {
    uint64_t config_from;
    uint64_t store_era; /* of STATUS_QUERY and STATUS */
  };
  uint64_t config_version;
  uint64_t digest; /* of the sender's store, or of a view */
  bool affirmative;
  struct bl_flow_key flow;
  union
  {
    uint32_t ack;     /* acknowledgement number of a packet of FLOW */
    uint32_t idle_ms; /* of STATUS_QUERY and STATUS */
  };
  uint32_t load;          /* LOAD: thousandths of a slot; STATUS: requests */
  uint32_t flows;         /* open flows of the sender */
  uint32_t warm_up_share; /* share of new flows that the sender takes during its
                             warm-up, in thousandths of its usual share */
  struct bl_names dcs_without_balancers; /* data centres */
  /* BL_STORE_BUCKETS digests of 8 bytes, or the lower 4 bytes of each, or
     empty.  */
  struct bl_str buckets;
  size_t record_count;
  struct bl_record *records;
  size_t service_count;
  struct bl_str *services; /* JSON texts */
};

/* A growing buffer.  */
struct bl_buffer
{
  uint8_t *ptr; /* owned */
  size_t len;
  size_t cap;
};

void bl_buffer_free (struct bl_buffer *buffer);

/* Encodes MSG into BUFFER and replaces its content.  Returns BL_ENOMEM if out
   of memory.  */
int bl_msg_encode (const struct bl_msg *msg, struct bl_buffer *buffer);

/* Decodes BUF into MSG, which does not point into BUF and must be released
   with bl_msg_clear after success.  Returns BL_ESHORT, BL_EVERSION,
   BL_EFORMAT, BL_ERANGE or BL_ENOMEM.  */
int bl_msg_decode (struct bl_msg *msg, const uint8_t *buf, size_t len);
/* Frees the memory that a decoded message owns.  */
void bl_msg_clear (struct bl_msg *msg);

/* Returns the JSON text of SERVICE, to be released with free(), or NULL if out
   of memory.  */
char *bl_service_format (const struct bl_service *service);
/* Parses the services of MSG into a new array; the calling function owns the
   array and the services.  Returns BL_EFORMAT if a service is invalid, or
   BL_ENOMEM; *OUT is then NULL.  */
int bl_msg_parse_services (const struct bl_msg *msg, struct bl_service ***out);

#endif
