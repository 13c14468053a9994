/* link.h -- the link protocol between balancers and pass-through agents

   Each message is about a single flow.  A pass-through agent belongs to a
   backend server that terminates TCP in a stack of its own, so the agent
   delivers packets unchanged and reports what the backend server answers.  */

#ifndef BL_LINK_H
#define BL_LINK_H

#include "boragelatch.h"

#define BL_LINK_VERSION 2
#define BL_LINK_MAX     128 /* bytes of an encoded message without packet */

enum bl_link_type
{
  /* To the agent: deliver the packet that follows the message.  */
  BL_LINK_PACKET = 1,
  /* To the balancer: the backend server answered the first packet of KEY with
     the initial sequence number SEQ.  */
  BL_LINK_ACCEPTED,
  /* To the balancer: the first packet of KEY was refused; see REASON.  */
  BL_LINK_REFUSED,
  /* To the balancer: the backend server does not hold KEY.  The packet, with
     acknowledgement number ACK, follows the message.  */
  BL_LINK_UNKNOWN_FLOW,
  /* To the agent: queries whether the backend server holds KEY with the
     caller's acknowledgement number ACK.  */
  BL_LINK_OWNER_QUERY,
  /* To the balancer: the backend server holds KEY.  Reply to a query; also sent
     when the backend server sends a packet of a flow before the balancer was
     notified of the owner.  */
  BL_LINK_OWNED,
  /* To the balancer, reply to a query: the backend server does not hold
     KEY.  */
  BL_LINK_NOT_OWNED,
  /* To the balancer, reply to a query: undecided, because the agent started
     only recently and its flow table may miss flows of its backend server.  */
  BL_LINK_INCOMPLETE,
  BL_LINK_TYPE_END,
};

/* Why a packet was not delivered, or not accepted by the backend server.  */
enum bl_link_reason
{
  BL_REASON_NONE = 0,
  BL_REASON_OTHER_SERVICE, /* the agent serves another service */
  BL_REASON_DRAINING,      /* the backend server accepts no new flows */
  BL_REASON_FULL, /* no room at the backend server, or it refused the packet */
  BL_REASON_DOWN, /* the backend server is not ready or has stopped */
  BL_REASON_END,
};

/* Returns the name of a reason for logs; never NULL.  */
const char *bl_link_reason_name (enum bl_link_reason reason);

struct bl_link_msg
{
  enum bl_link_type type;
  enum bl_link_reason reason;
  uint64_t service; /* hash of the name of the service */
  struct bl_flow_key key;
  uint8_t priority;       /* of the packet's route; 0 is the most urgent */
  uint32_t seq;           /* initial sequence number of the backend server */
  uint32_t ack;           /* acknowledgement number of the caller's packet */
  uint64_t incarnation;   /* of the agent; in a query, as the balancer knows it;
                             0: not known */
  uint64_t backend_start; /* start time of the backend server, in milliseconds
                             since 1970; 0: unknown */
  uint32_t busy;          /* requests that the backend server is serving */
  uint32_t flows;         /* flows open at the backend server */
};

/* Encodes LINK into BUF, which holds BL_LINK_MAX bytes; returns the length.  */
size_t bl_link_encode (const struct bl_link_msg *link, uint8_t *buf);
/* Decodes into LINK.  Returns the length of the message, after which a packet
   may follow, or BL_ESHORT, BL_EVERSION, BL_EFORMAT, BL_ENOMEM.  */
int bl_link_decode (struct bl_link_msg *link, const uint8_t *buf, size_t len);

#endif
