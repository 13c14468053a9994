/* link_io.h -- messages about flows between balancers and agents, each with the
   packet that may follow it in the same datagram  */

#ifndef LINK_IO_H
#define LINK_IO_H

#include "platform/platform.h"

/* A received datagram: a message about a flow, and the packet after it, if
   any.  */
struct link_datagram
{
  struct bl_addr from; /* sender */
  struct bl_link_msg link;
  bool has_packet;               /* the rest is a well-formed packet */
  struct platform_packet packet; /* its decoded headers */
  const uint8_t *bytes;          /* the rest, in the receive buffer */
  size_t len;                    /* of BYTES */
};

/* Receives one datagram into BUF and decodes it.  Returns BL_OK, BL_ENOTFOUND
   when no datagram is waiting, or BL_EFORMAT for a malformed message.  */
int link_receive (int fd, uint8_t *buf, size_t cap, struct link_datagram *out);
/* Returns the decoded packet of a datagram, or NULL if it has none.  */
const struct bl_packet *link_packet (const struct link_datagram *datagram);
/* Sends LINK, and PACKET after it unless LEN is 0, in one datagram.  */
void link_send (int fd,
                struct bl_addr to,
                const struct bl_link_msg *link,
                const uint8_t *packet,
                size_t len);

#endif
