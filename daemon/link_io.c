/* link_io.c -- messages about flows between balancers and agents, each with the
   packet that may follow it in the same datagram  */

#include "daemon/link_io.h"

int
link_receive (int fd, uint8_t *buf, size_t cap, struct link_datagram *out)
{
  int n = io_udp_receive (fd, &out->from, buf, cap);
  int head_len;

  if (n < 0)
    return BL_ENOTFOUND;
  head_len = bl_link_decode (&out->link, buf, (size_t)n);
  if (head_len < 0)
    return BL_EFORMAT;
  out->bytes = buf + head_len;
  out->len = (size_t)(n - head_len);
  out->has_packet
      = platform_packet_parse (&out->packet, out->bytes, out->len, false)
        == BL_OK;
  return BL_OK;
}

const struct bl_packet *
link_packet (const struct link_datagram *datagram)
{
  return datagram->has_packet ? &datagram->packet.packet : NULL;
}

void
link_send (int fd,
           struct bl_addr to,
           const struct bl_link_msg *link,
           const uint8_t *packet,
           size_t len)
{
  uint8_t head[BL_LINK_MAX];
  size_t head_len = bl_link_encode (link, head);

  io_udp_send_parts (fd, to, head, head_len, packet, len);
}
