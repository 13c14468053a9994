/* segment.h -- packets as callers and backend servers of the users' platform
   write and read them  */

#ifndef SEGMENT_H
#define SEGMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SEGMENT_HEAD     36   /* bytes */
#define SEGMENT_DATA_MAX 1200 /* bytes */
#define SEGMENT_SYN      0x08
#define SEGMENT_ACK      0x04
#define SEGMENT_FIN      0x80
#define SEGMENT_RST      0x20
#define SEGMENT_RETURNED 0x10

struct segment
{
  uint32_t dst;
  uint32_t src;
  uint16_t dport;
  uint16_t sport;
  uint8_t flags;
  uint32_t seq;
  uint32_t ack;
  uint32_t echo;
  uint16_t len;
  uint32_t sum;
  const uint8_t *data;
};

/* Writes S with its sum; BUF holds SEGMENT_HEAD + SEGMENT_DATA_MAX bytes.
   Returns the length.  */
size_t segment_write (const struct segment *s, uint8_t *buf);
/* False for bytes that are no packet.  S->data points into BUF.  */
bool segment_read (struct segment *s, const uint8_t *buf, size_t len);
/* Whether nobody on the way changed what its sender wrote.  */
bool segment_is_genuine (const struct segment *s, const uint8_t *buf);

#endif
