/* segment.c -- reads and writes packets of the users' platform, for the
   stand-ins of callers and backend servers

   The checksum covers all fields except those that may change in transit, so
   the receiver detects any other change.  */

#include "standin/segment.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#define CHECKSUM_SEED   0x5eed5eed /* in place of the platform's key */
#define ECHO_OFFSET     26         /* offset in the header */
#define CHECKSUM_OFFSET 32         /* offset in the header */

static void
write_number (uint8_t **at, size_t width, uint32_t value)
{
  for (size_t i = 0; i < width; i++)
    (*at)[i] = (uint8_t)(value >> (8 * (width - 1 - i)));
  *at += width;
}

static uint32_t
read_number (const uint8_t **at, size_t width)
{
  uint32_t value = 0;

  for (size_t i = 0; i < width; i++)
    value = value << 8 | (*at)[i];
  *at += width;
  return value;
}

static uint32_t
checksum_of (const uint8_t *buf, size_t len)
{
  uint8_t copy[SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX];

  memcpy (copy, buf, len);
  copy[SEGMENT_FLAGS_OFFSET] &= (uint8_t)~SEGMENT_RETURNED;
  memset (copy + SEGMENT_PAD_OFFSET, 0, SEGMENT_PAD_LEN);
  memset (copy + ECHO_OFFSET, 0, 4);
  memset (copy + CHECKSUM_OFFSET, 0, 4);
  return (uint32_t)XXH3_64bits_withSeed (copy, len, CHECKSUM_SEED);
}

size_t
segment_write (const struct segment *s, uint8_t *buf)
{
  uint8_t *at = buf;
  size_t len = SEGMENT_HEADER_LEN + s->len;

  write_number (&at, 4, s->dst);
  write_number (&at, 4, s->src);
  write_number (&at, 2, s->dport);
  write_number (&at, 2, s->sport);
  write_number (&at, 1, s->flags);
  memset (at, 0, SEGMENT_PAD_LEN);
  at += SEGMENT_PAD_LEN;
  write_number (&at, 4, s->seq);
  write_number (&at, 4, s->ack);
  write_number (&at, 4, s->echo);
  write_number (&at, 2, s->len);
  write_number (&at, 4, 0);
  if (s->len > 0)
    memcpy (at, s->data, s->len);
  at = buf + SEGMENT_HEADER_LEN - 4;
  write_number (&at, 4, checksum_of (buf, len));
  return len;
}

bool
segment_read (struct segment *s, const uint8_t *buf, size_t len)
{
  const uint8_t *at = buf;

  if (len < SEGMENT_HEADER_LEN || len > SEGMENT_HEADER_LEN + SEGMENT_DATA_MAX)
    return false;
  s->dst = read_number (&at, 4);
  s->src = read_number (&at, 4);
  s->dport = (uint16_t)read_number (&at, 2);
  s->sport = (uint16_t)read_number (&at, 2);
  s->flags = (uint8_t)read_number (&at, 1);
  at += SEGMENT_PAD_LEN;
  s->seq = read_number (&at, 4);
  s->ack = read_number (&at, 4);
  s->echo = read_number (&at, 4);
  s->len = (uint16_t)read_number (&at, 2);
  s->checksum = read_number (&at, 4);
  s->data = at;
  return s->len == len - SEGMENT_HEADER_LEN;
}

bool
segment_checksum_is_valid (const struct segment *s, const uint8_t *buf)
{
  return s->checksum == checksum_of (buf, SEGMENT_HEADER_LEN + (size_t)s->len);
}
