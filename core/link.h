/* link.h -- messages about single flows between balancers and agents whose
   backend servers end flows themselves  */

#ifndef BL_LINK_H
#define BL_LINK_H

#include "boragelatch.h"

#define BL_LINK_VERSION 1
#define BL_LINK_MAX     128 /* bytes of an encoded message, without a packet */

enum bl_link_type
{
  BL_LINK_PACKET = 1,   /* to agent: a packet follows */
  BL_LINK_ACCEPTED,     /* to balancer: the backend server answered KEY's first
                           packet with the initial sequence number SEQ */
  BL_LINK_REFUSED,      /* to balancer: KEY's first packet was not taken */
  BL_LINK_UNKNOWN_FLOW, /* to balancer: the backend server does not hold KEY */
  BL_LINK_OWNER_QUERY,  /* to agent: is KEY, with ACK, held there */
  BL_LINK_OWNED,        /* to balancer: yes */
  BL_LINK_NOT_OWNED,    /* to balancer: no */
  BL_LINK_INCOMPLETE,   /* to balancer: started too late to know */
  BL_LINK_TYPE_END,
};

enum bl_link_reason
{
  BL_REASON_NONE = 0,
  BL_REASON_OTHER_SERVICE, /* another service is served here */
  BL_REASON_DRAINING,      /* no new flows */
  BL_REASON_FULL,          /* the backend server turned it away */
  BL_REASON_DOWN,          /* the backend server does not answer */
  BL_REASON_END,
};

const char *bl_link_reason_name (enum bl_link_reason reason);

struct bl_link_msg
{
  enum bl_link_type type;
  enum bl_link_reason reason;
  uint64_t service; /* hash of its name */
  struct bl_flow_key key;
  uint32_t seq;         /* initial sequence number of the backend server */
  uint32_t ack;         /* acknowledgement number of the packet asked about */
  uint64_t incarnation; /* of the agent */
  uint64_t born;        /* start of the backend server; 0: not known */
  uint32_t busy;        /* requests under way at the backend server */
  uint32_t flows;       /* open there */
};

/* Encodes into BUF of BL_LINK_MAX bytes; returns the length.  */
size_t bl_link_encode (const struct bl_link_msg *link, uint8_t *buf);
/* Returns the length of the message, after which a packet may follow, or
   BL_ESHORT, BL_EVERSION, BL_EFORMAT.  */
int bl_link_decode (struct bl_link_msg *link, const uint8_t *buf, size_t len);

#endif
