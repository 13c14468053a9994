/* util.c -- errors, findings, names, addresses and random numbers

   Small helpers that everything else in the core stands on.  Hashing is
   xxHash; the random numbers are splitmix64, whose whole state is one word
   and which therefore can be passed in and replayed.  */

#include "boragelatch.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

static const char *const error_names[] = {
  "ok",           "too short", "wrong version", "bad checksum", "bad format",
  "out of range", "not found", "stale",         "out of space", "conflict",
};

static const char *const state_names[] = {
  "starting", "ready", "draining", "suspect", "left", "dead",
};

const char *
bl_strerror (int code)
{
  size_t n = sizeof error_names / sizeof error_names[0];
  if (code > 0 || (size_t)-code >= n)
    return "unknown error";
  return error_names[-code];
}

const char *
bl_state_name (enum bl_instance_state state)
{
  size_t n = sizeof state_names / sizeof state_names[0];
  return (size_t)state < n ? state_names[state] : "unknown";
}

void
bl_findings_add (struct bl_findings *f,
                 const char *place,
                 const char *format,
                 ...)
{
  size_t at = f->count++;
  va_list args;

  if (at >= BL_FINDINGS_MAX)
    return;
  snprintf (f->items[at].place, sizeof f->items[at].place, "%s", place);
  va_start (args, format);
  vsnprintf (f->items[at].text, sizeof f->items[at].text, format, args);
  va_end (args);
}

struct bl_str
bl_str_of (const char *text)
{
  return (struct bl_str){ .ptr = text, .len = strlen (text) };
}

int
bl_name_set (struct bl_name *name, struct bl_str text)
{
  if (text.len == 0 || text.len > BL_NAME_MAX)
    return BL_ERANGE;
  for (size_t i = 0; i < text.len; i++)
    {
      unsigned char c = (unsigned char)text.ptr[i];
      if (!isalnum (c) && c != '-' && c != '_' && c != '.')
        return BL_ERANGE;
    }
  memset (name, 0, sizeof *name);
  memcpy (name->s, text.ptr, text.len);
  name->len = (uint8_t)text.len;
  return BL_OK;
}

bool
bl_name_equal (const struct bl_name *a, const struct bl_name *b)
{
  return a->len == b->len && memcmp (a->s, b->s, a->len) == 0;
}

uint64_t
bl_name_hash (const struct bl_name *name, uint64_t seed)
{
  return XXH3_64bits_withSeed (name->s, name->len, seed);
}

bool
bl_names_has (const struct bl_names *names, const struct bl_name *name)
{
  for (size_t i = 0; i < names->count; i++)
    if (bl_name_equal (&names->items[i], name))
      return true;
  return false;
}

void
bl_names_add (struct bl_names *names, const struct bl_name *name)
{
  if (names->count < BL_NAMES_MAX && !bl_names_has (names, name))
    names->items[names->count++] = *name;
}

int
bl_ip_parse (uint32_t *ip, struct bl_str text)
{
  char buf[INET_ADDRSTRLEN];
  struct in_addr in;

  if (text.len == 0 || text.len >= sizeof buf)
    return BL_EFORMAT;
  memcpy (buf, text.ptr, text.len);
  buf[text.len] = '\0';
  if (inet_pton (AF_INET, buf, &in) != 1)
    return BL_EFORMAT;
  *ip = ntohl (in.s_addr);
  return BL_OK;
}

int
bl_addr_parse (struct bl_addr *addr, struct bl_str text)
{
  const char *colon = memchr (text.ptr, ':', text.len);
  unsigned port = 0;
  uint32_t ip;
  size_t ip_len;

  if (colon == NULL)
    return BL_EFORMAT;
  ip_len = (size_t)(colon - text.ptr);
  if (bl_ip_parse (&ip, (struct bl_str){ text.ptr, ip_len }) != BL_OK)
    return BL_EFORMAT;
  if (ip_len + 1 == text.len || text.len - ip_len > 6)
    return BL_EFORMAT;
  for (size_t i = ip_len + 1; i < text.len; i++)
    {
      if (!isdigit ((unsigned char)text.ptr[i]))
        return BL_EFORMAT;
      port = port * 10 + (unsigned)(text.ptr[i] - '0');
    }
  if (port == 0 || port > UINT16_MAX)
    return BL_EFORMAT;
  *addr = (struct bl_addr){ .ip = ip, .port = (uint16_t)port };
  return BL_OK;
}

char *
bl_addr_format (struct bl_addr addr, char *buf)
{
  snprintf (buf, BL_ADDR_TEXT_MAX, "%u.%u.%u.%u:%u", addr.ip >> 24,
            addr.ip >> 16 & 255, addr.ip >> 8 & 255, addr.ip & 255, addr.port);
  return buf;
}

bool
bl_addr_equal (struct bl_addr a, struct bl_addr b)
{
  return a.ip == b.ip && a.port == b.port;
}

uint64_t
bl_random_next (struct bl_random *r)
{
  uint64_t z = r->state += 0x9e3779b97f4a7c15u;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint32_t
bl_random_below (struct bl_random *r, uint32_t bound)
{
  return (uint32_t)(((bl_random_next (r) >> 32) * bound) >> 32);
}

double
bl_random_unit (struct bl_random *r)
{
  return (double)(bl_random_next (r) >> 11) / 9007199254740992.0;
}

uint64_t
bl_flow_hash (const struct bl_flow_key *key)
{
  return XXH3_64bits (key, sizeof *key);
}

bool
bl_flow_key_equal (const struct bl_flow_key *a, const struct bl_flow_key *b)
{
  return memcmp (a, b, sizeof *a) == 0;
}
