/* forward.c -- encoding and decoding of the forwarding header

   The header precedes a packet that is sent from balancer to agent or from
   agent to agent.  It is a MessagePack array with a fixed number of fields, so
   that the MessagePack library checks the length of each field, and a process
   of another release reads the version first.  The packet follows the header
   directly.  */

#include "core/bounds.h"
#include "core/pack.h"

#include <msgpack.h>
#include <string.h>

#define FORWARD_FIELDS 8
#define HOP_FIELDS     3
/* The decoded objects are allocated in chunks of this size.  */
#define ZONE_CHUNK_BYTES 1024

static void
pack_hop (msgpack_packer *pk, const struct bl_hop *hop)
{
  msgpack_pack_array (pk, HOP_FIELDS);
  msgpack_pack_uint32 (pk, hop->data.ip);
  msgpack_pack_uint16 (pk, hop->data.port);
  msgpack_pack_uint64 (pk, hop->incarnation);
}

size_t
bl_forward_encode (const struct bl_forward *forward, uint8_t *buf)
{
  struct bl_fixed_buffer out = { .buf = buf, .cap = BL_FORWARD_MAX };
  msgpack_packer pk;

  msgpack_packer_init (&pk, &out, bl_fixed_buffer_write);
  msgpack_pack_array (&pk, FORWARD_FIELDS);
  msgpack_pack_uint8 (&pk, BL_FORWARD_VERSION);
  msgpack_pack_uint32 (&pk, forward->service);
  msgpack_pack_uint64 (&pk, forward->target_incarnation);
  msgpack_pack_uint8 (&pk, forward->hops);
  forward->placed ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
  forward->to_owner ? msgpack_pack_true (&pk) : msgpack_pack_false (&pk);
  pack_hop (&pk, &forward->primary_hop);
  msgpack_pack_array (&pk, forward->fallback_count);
  for (size_t i = 0; i < forward->fallback_count; i++)
    pack_hop (&pk, &forward->fallback_hops[i]);
  return out.len;
}

static bool
get_bool (const msgpack_object *o, bool *value)
{
  if (o->type != MSGPACK_OBJECT_BOOLEAN)
    return false;
  *value = o->via.boolean;
  return true;
}

static bool
get_hop (const msgpack_object *o, struct bl_hop *hop)
{
  uint64_t ip;
  uint64_t port;

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != HOP_FIELDS)
    return false;
  if (!bl_unpack_uint (&o->via.array.ptr[0], UINT32_MAX, &ip)
      || !bl_unpack_uint (&o->via.array.ptr[1], UINT16_MAX, &port)
      || !bl_unpack_uint (&o->via.array.ptr[2], UINT64_MAX, &hop->incarnation))
    return false;
  hop->data = (struct bl_addr){ .ip = (uint32_t)ip, .port = (uint16_t)port };
  return true;
}

/* Reads the candidates that are still to be tried.  */
static bool
get_fallback_hops (const msgpack_object *o, struct bl_forward *forward)
{
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > BL_FALLBACKS_MAX)
    return false;
  forward->fallback_count = o->via.array.size;
  for (size_t i = 0; i < forward->fallback_count; i++)
    if (!get_hop (&o->via.array.ptr[i], &forward->fallback_hops[i]))
      return false;
  return true;
}

/* Reads the fields in the order in which bl_forward_encode writes them.  */
static int
read_fields (struct bl_forward *forward, const msgpack_object *root)
{
  const msgpack_object *f;
  uint64_t version;
  uint64_t service;
  uint64_t hops;

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0)
    return BL_EFORMAT;
  f = root->via.array.ptr;
  if (!bl_unpack_uint (&f[0], UINT8_MAX, &version))
    return BL_EFORMAT;
  if (version != BL_FORWARD_VERSION)
    return BL_EVERSION;
  if (root->via.array.size != FORWARD_FIELDS
      || !bl_unpack_uint (&f[1], UINT32_MAX, &service)
      || !bl_unpack_uint (&f[2], UINT64_MAX, &forward->target_incarnation)
      || !bl_unpack_uint (&f[3], UINT8_MAX, &hops)
      || !get_bool (&f[4], &forward->placed)
      || !get_bool (&f[5], &forward->to_owner)
      || !get_hop (&f[6], &forward->primary_hop)
      || !get_fallback_hops (&f[7], forward))
    return BL_EFORMAT;
  forward->service = (uint32_t)service;
  forward->hops = (uint8_t)hops;
  return BL_OK;
}

/* Returns how many of the LEN bytes are checked and decoded.  The bytes are
   untrusted, so the limit bounds the depth and size of the objects that the
   library may build.  */
static size_t
header_window (size_t len)
{
  return len < BL_FORWARD_MAX ? len : BL_FORWARD_MAX;
}

int
bl_forward_decode (struct bl_forward *forward, const uint8_t *buf, size_t len)
{
  msgpack_zone zone;
  msgpack_object root;
  size_t off = 0;
  msgpack_unpack_return ret;
  int err = bl_msgpack_check (buf, header_window (len));

  if (err != BL_OK)
    return err;
  err = BL_EFORMAT;
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    return BL_ENOMEM;
  ret = msgpack_unpack ((const char *)buf, header_window (len), &off, &zone,
                        &root);
  memset (forward, 0, sizeof *forward);
  if (ret == MSGPACK_UNPACK_CONTINUE)
    err = BL_ESHORT;
  else if (ret == MSGPACK_UNPACK_SUCCESS || ret == MSGPACK_UNPACK_EXTRA_BYTES)
    err = read_fields (forward, &root);
  msgpack_zone_destroy (&zone);
  return err == BL_OK ? (int)off : err;
}
