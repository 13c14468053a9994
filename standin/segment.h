/* segment.h -- reads and writes packets of the users' platform, for the
   stand-ins of callers and backend servers  */

#ifndef SEGMENT_H
#define SEGMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SEGMENT_HEADER_LEN 36   /* bytes of the header */
#define SEGMENT_DATA_MAX   1200 /* bytes */
#define SEGMENT_SYN        0x08
#define SEGMENT_ACK        0x04
#define SEGMENT_FIN        0x80
#define SEGMENT_RST        0x20
/* Set by a backend server that returns the packet of a flow it does not
   hold.  */
#define SEGMENT_RETURNED 0x10
/* Offsets in the header.  The padding after the flags is cleared in a returned
   packet.  */
#define SEGMENT_FLAGS_OFFSET 12
#define SEGMENT_PAD_OFFSET   13
#define SEGMENT_PAD_LEN      5 /* bytes */

/* A packet in host byte order.  */
struct segment
{
  uint32_t dst;
  uint32_t src;
  uint16_t dport;
  uint16_t sport;
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint32_t echo;     /* unchanged in a returned packet; not in the checksum */
  uint16_t len;      /* bytes of data */
  uint32_t checksum; /* segment_write computes it */
  const uint8_t *data;
};

/* Writes S with its checksum to BUF, which holds SEGMENT_HEADER_LEN +
   SEGMENT_DATA_MAX bytes.  Returns the length.  */
size_t segment_write (const struct segment *s, uint8_t *buf);
/* Parses the header; the checksum is not verified.  Returns false if the
   lengths are inconsistent.  S->data points into BUF.  */
bool segment_read (struct segment *s, const uint8_t *buf, size_t len);
/* Returns true if BUF, which segment_read parsed into S, has the checksum that
   its sender computed.  */
bool segment_checksum_is_valid (const struct segment *s, const uint8_t *buf);

#endif
