/* msg.h -- control messages between our processes  */

#ifndef BL_MSG_H
#define BL_MSG_H

#include "boragelatch.h"

#define BL_MSG_VERSION      1
#define BL_DATAGRAM_MAX     1400 /* bytes; stays whole on a common network */
#define BL_MSG_RECORDS_MAX  2048 /* records in one message */
#define BL_MSG_SERVICES_MAX 256  /* services in one message */
#define BL_MSG_BYTES_MAX    (1024 * 1024)

enum bl_msg_type
{
  BL_MSG_PING = 1,     /* balancer to balancer: are you there */
  BL_MSG_ACK,          /* answers PING and PING_REQ */
  BL_MSG_PING_REQ,     /* ping, or say when you heard of, ABOUT for me */
  BL_MSG_PUSH,         /* news, sent at once */
  BL_MSG_ANNOUNCE,     /* agent to keeper: I live; RECORDS[0] if not known */
  BL_MSG_ANNOUNCE_ACK, /* answer: RECORDS are your keepers, if not known */
  BL_MSG_LOAD,         /* agent to agent: LOAD of the sender */
  BL_MSG_OWNER_QUERY,  /* agent to agent: is FLOW with ACK yours */
  BL_MSG_OWNER_ANSWER, /* answer: YES tells */
  BL_MSG_OWNER_NOTICE, /* agent to agent: FLOW is at ABOUT */
  BL_MSG_PULL_RECORDS, /* request: BUCKETS are my digests */
  BL_MSG_RECORDS,      /* reply: RECORDS of buckets that differ */
  BL_MSG_PULL_CONFIG,  /* request: all after CONFIG_VERSION */
  BL_MSG_CONFIG,       /* reply: SERVICES from CONFIG_FROM to CONFIG_VERSION */
  BL_MSG_PULL_VIEW,    /* request: service ABOUT and its backend servers */
  BL_MSG_VIEW,         /* reply: SERVICES[0] and RECORDS */
  BL_MSG_STATUS_QUERY, /* balancer to instance: tell me your status; SEQ and
                   INCARNATION are of the record held */
  BL_MSG_STATUS,       /* answer, or unasked at a change: LOAD requests under
                          way, FLOWS open, DIGEST start of the backend server;
                          a balancer's: CONFIG_VERSION and DIGEST held, YES if
                          it knows all agents;
                          RECORDS[0] when the asker holds another */
  BL_MSG_TYPE_END,
};

/* One message of any type; members that a type does not use are zero, and
   take one byte each when encoded.  */
struct bl_msg
{
  enum bl_msg_type type;
  struct bl_name from;    /* sender */
  struct bl_name subject; /* whom or what it is about; may be empty */
  uint64_t seq; /* of a request, which its answer repeats; of a record */
  uint64_t incarnation; /* of the record that SEQ belongs to */
  uint64_t config_from;
  uint64_t config_version;
  uint64_t digest; /* of the sender's store, or of a view */
  bool affirmative;
  struct bl_flow_key flow;
  uint32_t ack;   /* acknowledgement number of the packet asked about */
  uint32_t load;  /* thousandths of a slot, or of its like */
  uint32_t flows; /* open at the sender */
  uint32_t ramp;  /* thousandths of its usual share that the sender takes */
  struct bl_names lost;  /* data centres without balancers */
  struct bl_str buckets; /* BL_STORE_BUCKETS digests of 8 bytes, or the lower 4
                            of them each, or empty */
  size_t record_count;
  struct bl_record *records;
  size_t service_count;
  struct bl_str *services; /* JSON texts */
};

struct bl_buffer
{
  uint8_t *ptr; /* owned */
  size_t len;
  size_t cap;
};

void bl_buffer_free (struct bl_buffer *buffer);

/* Encodes MSG into BUFFER, replacing what it holds.  BL_ENOMEM.  */
int bl_msg_encode (const struct bl_msg *msg, struct bl_buffer *buffer);

/* Decodes; on success MSG owns memory until bl_msg_clear, and does not point
   into BUF.  BL_ESHORT, BL_EVERSION, BL_EFORMAT, BL_ERANGE, BL_ENOMEM.  */
int bl_msg_decode (struct bl_msg *msg, const uint8_t *buf, size_t len);
void bl_msg_clear (struct bl_msg *msg);

/* The JSON text of SERVICE; free with free().  NULL when out of memory.  */
char *bl_service_format (const struct bl_service *service);
/* Reads the services of MSG into a new array of new services, which the
   caller frees.  BL_EFORMAT when any is bad; *OUT is then NULL.  */
int bl_msg_parse_services (const struct bl_msg *msg, struct bl_service ***out);

#endif
