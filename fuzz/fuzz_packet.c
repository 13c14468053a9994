/* fuzz_packet.c -- what balancers and agents receive as datagrams: packets of
   both transports, link messages with a packet, forwarding headers  */

#include "fuzz/fuzz.h"

#include "core/link.h"
#include "platform/platform.h"

#include <stdlib.h>
#include <string.h>

static void
check_link (const uint8_t *data, size_t size)
{
  struct bl_link_msg link;
  struct bl_link_msg again;
  struct platform_packet packet;
  uint8_t buf[BL_LINK_MAX];
  int len = bl_link_decode (&link, data, size);

  if (len < 0)
    return;
  if (bl_link_decode (&again, buf, bl_link_encode (&link, buf)) < 0
      || memcmp (&again.key, &link.key, sizeof link.key) != 0)
    abort ();
  platform_packet_parse (&packet, data + len, size - (size_t)len, false);
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  struct platform_packet packet;
  struct bl_packet ip_packet;
  struct bl_forward forward;

  platform_packet_parse (&packet, data, size, false);
  platform_packet_parse (&packet, data, size, true);
  bl_packet_parse (&ip_packet, data, size);
  bl_forward_decode (&forward, data, size);
  check_link (data, size);
  return 0;
}
