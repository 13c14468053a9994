/* packet.c -- parses IPv4 TCP packets and creates packets without data

   Only the fields that decisions are based on are read: the flow, the sequence
   numbers and the flags.  Both checksums are verified here, once, so that a
   corrupted packet is counted and dropped before any decision uses it.  */

#include "boragelatch.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <string.h>

#define IP_FRAGMENT_MASK 0x3fff /* more-fragments flag and offset */
#define TCP_FLAGS_OFFSET 13     /* byte of the TCP header */
#define DEFAULT_TTL      64

/* Adds LEN bytes to a one's complement sum (RFC 1071).  */
static uint64_t
sum_bytes (uint64_t sum, const uint8_t *p, size_t len)
{
  uint16_t word;

  for (; len > 1; len -= 2, p += 2)
    {
      memcpy (&word, p, sizeof word);
      sum += word;
    }
  if (len == 1)
    {
      uint8_t last[2] = { *p, 0 };
      memcpy (&word, last, sizeof word);
      sum += word;
    }
  return sum;
}

static uint16_t
sum_fold (uint64_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)sum;
}

/* Returns the checksum of a TCP segment with its pseudo-header; 0 if the
   segment contains the correct checksum.  */
static uint16_t
tcp_checksum (const struct iphdr *ip, const uint8_t *segment, size_t len)
{
  uint64_t sum = sum_bytes (0, (const uint8_t *)&ip->saddr, 8);
  sum += htons (IPPROTO_TCP);
  sum += htons ((uint16_t)len);
  return (uint16_t)~sum_fold (sum_bytes (sum, segment, len));
}

static int
check_ip (const struct iphdr *ip, const uint8_t *buf, size_t len)
{
  size_t header_len = (size_t)ip->ihl * 4;

  if (ip->version != 4 || header_len < sizeof *ip)
    return BL_EFORMAT;
  if (len < header_len || len < ntohs (ip->tot_len))
    return BL_ESHORT;
  if (ntohs (ip->tot_len) < header_len + sizeof (struct tcphdr))
    return BL_ESHORT;
  if (ip->protocol != IPPROTO_TCP
      || (ntohs (ip->frag_off) & IP_FRAGMENT_MASK) != 0)
    return BL_EFORMAT;
  if (sum_fold (sum_bytes (0, buf, header_len)) != 0xffff)
    return BL_ECHECKSUM;
  return BL_OK;
}

int
bl_packet_parse (struct bl_packet *packet, const uint8_t *buf, size_t len)
{
  struct iphdr ip;
  struct tcphdr tcp;
  size_t segment_len;
  size_t header_len;
  int err;

  if (len < sizeof ip + sizeof tcp)
    return BL_ESHORT;
  memcpy (&ip, buf, sizeof ip);
  err = check_ip (&ip, buf, len);
  if (err != BL_OK)
    return err;
  header_len = (size_t)ip.ihl * 4;
  segment_len = ntohs (ip.tot_len) - header_len;
  memcpy (&tcp, buf + header_len, sizeof tcp);
  if (tcp.doff * 4u < sizeof tcp || tcp.doff * 4u > segment_len)
    return BL_EFORMAT;
  if (tcp_checksum (&ip, buf + header_len, segment_len) != 0)
    return BL_ECHECKSUM;
  *packet = (struct bl_packet){
    .key = { .src_ip = ntohl (ip.saddr),
             .dst_ip = ntohl (ip.daddr),
             .src_port = ntohs (tcp.source),
             .dst_port = ntohs (tcp.dest) },
    .seq = ntohl (tcp.seq),
    .ack = ntohl (tcp.ack_seq),
    .flags = buf[header_len + TCP_FLAGS_OFFSET],
    .payload_len = (uint16_t)(segment_len - tcp.doff * 4u),
  };
  return BL_OK;
}

bool
bl_packet_is_first (const struct bl_packet *packet)
{
  const uint8_t mask = BL_TCP_SYN | BL_TCP_ACK | BL_TCP_FIN | BL_TCP_RST;
  return (packet->flags & mask) == BL_TCP_SYN;
}

/* Returns the length of a segment in sequence space.  */
static uint32_t
sequence_length (const struct bl_packet *packet)
{
  uint32_t len = packet->payload_len;
  if (packet->flags & BL_TCP_SYN)
    len++;
  if (packet->flags & BL_TCP_FIN)
    len++;
  return len;
}

/* Writes a packet without data to the sender of PACKET.  */
static void
write_reply (const struct bl_packet *packet,
             uint32_t seq,
             uint32_t ack,
             uint8_t flags,
             uint8_t *buf)
{
  struct iphdr ip = {
    .version = 4,
    .ihl = 5,
    .ttl = DEFAULT_TTL,
    .tot_len = htons (BL_RESET_LEN),
    .protocol = IPPROTO_TCP,
    .saddr = htonl (packet->key.dst_ip),
    .daddr = htonl (packet->key.src_ip),
  };
  struct tcphdr tcp = {
    .source = htons (packet->key.dst_port),
    .dest = htons (packet->key.src_port),
    .seq = htonl (seq),
    .ack_seq = htonl (ack),
    .doff = sizeof tcp / 4,
    .rst = (flags & BL_TCP_RST) != 0,
    .ack = (flags & BL_TCP_ACK) != 0,
    .window = (flags & BL_TCP_RST) != 0 ? 0 : htons (UINT16_MAX),
  };

  ip.check = (uint16_t)~sum_fold (sum_bytes (0, (uint8_t *)&ip, sizeof ip));
  tcp.check = tcp_checksum (&ip, (uint8_t *)&tcp, sizeof tcp);
  memcpy (buf, &ip, sizeof ip);
  memcpy (buf + sizeof ip, &tcp, sizeof tcp);
}

size_t
bl_packet_reset (const struct bl_packet *packet, uint8_t *buf)
{
  if (packet->flags & BL_TCP_RST)
    return 0;
  if (packet->flags & BL_TCP_ACK)
    write_reply (packet, packet->ack, 0, BL_TCP_RST, buf);
  else
    write_reply (packet, 0, packet->seq + sequence_length (packet),
                 BL_TCP_RST | BL_TCP_ACK, buf);
  return BL_RESET_LEN;
}

size_t
bl_packet_challenge_ack (const struct bl_packet *packet,
                         uint32_t seq,
                         uint32_t ack,
                         uint8_t *buf)
{
  if (packet->flags & BL_TCP_RST)
    return 0;
  write_reply (packet, seq, ack, BL_TCP_ACK, buf);
  return BL_RESET_LEN;
}

/* Adds ADD to the field at OFFSET and updates the checksum incrementally
   (RFC 1624).  */
static void
adjust_field (uint8_t *tcp, size_t offset, uint32_t add)
{
  uint16_t check;
  uint32_t before;
  uint32_t after;
  uint64_t sum;

  memcpy (&check, tcp + offsetof (struct tcphdr, check), sizeof check);
  memcpy (&before, tcp + offset, sizeof before);
  after = htonl (ntohl (before) + add);
  memcpy (tcp + offset, &after, sizeof after);
  sum = (uint16_t)~check;
  sum = sum_bytes (sum, (const uint8_t *)&after, sizeof after);
  before = ~before;
  sum = sum_bytes (sum, (const uint8_t *)&before, sizeof before);
  check = (uint16_t)~sum_fold (sum);
  memcpy (tcp + offsetof (struct tcphdr, check), &check, sizeof check);
}

void
bl_packet_adjust_seq (uint8_t *buf, uint32_t seq_add, uint32_t ack_add)
{
  uint8_t *tcp = buf + (size_t)(buf[0] & 0x0f) * 4;

  adjust_field (tcp, offsetof (struct tcphdr, seq), seq_add);
  if (tcp[TCP_FLAGS_OFFSET] & BL_TCP_ACK)
    adjust_field (tcp, offsetof (struct tcphdr, ack_seq), ack_add);
}
