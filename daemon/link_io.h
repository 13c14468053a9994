/* link_io.h -- messages about flows on sockets, with the packets after them  */

#ifndef LINK_IO_H
#define LINK_IO_H

#include "platform/platform.h"

struct link_datagram
{
  struct bl_addr from;
  struct bl_link_msg link;
  bool has_packet;
  struct platform_packet packet;
  const uint8_t *bytes; /* of the packet, in the buffer received into */
  size_t len;
};

/* Receives one message into BUF.  BL_ENOTFOUND when there is none, BL_EFORMAT
   for one that cannot be read.  */
int link_receive (int fd, uint8_t *buf, size_t cap, struct link_datagram *out);
/* The packet of an arrival, or NULL.  */
const struct bl_packet *link_packet (const struct link_datagram *arrival);
/* Sends LINK, and PACKET after it unless LEN is 0.  */
void link_send (int fd,
                struct bl_addr to,
                const struct bl_link_msg *link,
                const uint8_t *packet,
                size_t len);

#endif
