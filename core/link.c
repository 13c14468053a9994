/* link.c -- encoding and decoding of the messages of the link protocol

   A message is a MessagePack array with a fixed number of fields, like the
   forwarding header (forward.c).  The MessagePack library checks the length of
   each field, and this module checks its type and range.  The packet, if any,
   follows the message directly.  */

#include "core/link.h"
#include "core/bounds.h"
#include "core/pack.h"

#include <msgpack.h>
#include <string.h>

#define LINK_FIELDS 12
#define KEY_FIELDS  4
/* The decoded objects are allocated in chunks of this size.  */
#define ZONE_CHUNK_BYTES 1024

static const char *const reason_names[] = {
  [BL_REASON_NONE] = "none",
  [BL_REASON_OTHER_SERVICE] = "other_service",
  [BL_REASON_DRAINING] = "draining",
  [BL_REASON_FULL] = "full",
  [BL_REASON_DOWN] = "down",
};

const char *
bl_link_reason_name (enum bl_link_reason reason)
{
  return reason < BL_REASON_END ? reason_names[reason] : "unknown";
}

size_t
bl_link_encode (const struct bl_link_msg *link, uint8_t *buf)
{
  struct bl_fixed_buffer out = { .buf = buf, .cap = BL_LINK_MAX };
  msgpack_packer pk;

  msgpack_packer_init (&pk, &out, bl_fixed_buffer_write);
  msgpack_pack_array (&pk, LINK_FIELDS);
  msgpack_pack_uint8 (&pk, BL_LINK_VERSION);
  msgpack_pack_uint8 (&pk, (uint8_t)link->type);
  msgpack_pack_uint8 (&pk, (uint8_t)link->reason);
  msgpack_pack_uint64 (&pk, link->service);
  msgpack_pack_array (&pk, KEY_FIELDS);
  msgpack_pack_uint32 (&pk, link->key.src_ip);
  msgpack_pack_uint32 (&pk, link->key.dst_ip);
  msgpack_pack_uint16 (&pk, link->key.src_port);
  msgpack_pack_uint16 (&pk, link->key.dst_port);
  msgpack_pack_uint32 (&pk, link->seq);
  msgpack_pack_uint32 (&pk, link->ack);
  msgpack_pack_uint64 (&pk, link->incarnation);
  msgpack_pack_uint64 (&pk, link->backend_start);
  msgpack_pack_uint32 (&pk, link->busy);
  msgpack_pack_uint32 (&pk, link->flows);
  msgpack_pack_uint8 (&pk, link->priority);
  return out.len;
}

/* Reads the two addresses and the two ports of a flow key.  */
static bool
get_key (const msgpack_object *o, struct bl_flow_key *key)
{
  const msgpack_object *f = o->via.array.ptr;
  uint64_t v[KEY_FIELDS];

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != KEY_FIELDS)
    return false;
  for (int i = 0; i < KEY_FIELDS; i++)
    if (!bl_unpack_uint (&f[i], i < 2 ? UINT32_MAX : UINT16_MAX, &v[i]))
      return false;
  *key = (struct bl_flow_key){ .src_ip = (uint32_t)v[0],
                               .dst_ip = (uint32_t)v[1],
                               .src_port = (uint16_t)v[2],
                               .dst_port = (uint16_t)v[3] };
  return true;
}

/* Reads the fields in the order in which bl_link_encode writes them.  The
   version comes first, so that a message of another version is recognised
   whatever its other fields are.  */
static int
read_fields (struct bl_link_msg *link, const msgpack_object *root)
{
  const msgpack_object *f;
  uint64_t version;
  uint64_t type;
  uint64_t reason;
  uint64_t v[5];

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0)
    return BL_EFORMAT;
  f = root->via.array.ptr;
  if (!bl_unpack_uint (&f[0], UINT8_MAX, &version))
    return BL_EFORMAT;
  if (version != BL_LINK_VERSION)
    return BL_EVERSION;
  if (root->via.array.size != LINK_FIELDS
      || !bl_unpack_uint (&f[1], BL_LINK_TYPE_END - 1, &type) || type == 0
      || !bl_unpack_uint (&f[2], BL_REASON_END - 1, &reason)
      || !bl_unpack_uint (&f[3], UINT64_MAX, &link->service)
      || !get_key (&f[4], &link->key)
      || !bl_unpack_uint (&f[5], UINT32_MAX, &v[0])
      || !bl_unpack_uint (&f[6], UINT32_MAX, &v[1])
      || !bl_unpack_uint (&f[7], UINT64_MAX, &link->incarnation)
      || !bl_unpack_uint (&f[8], UINT64_MAX, &link->backend_start)
      || !bl_unpack_uint (&f[9], UINT32_MAX, &v[2])
      || !bl_unpack_uint (&f[10], UINT32_MAX, &v[3])
      || !bl_unpack_uint (&f[11], UINT8_MAX, &v[4]))
    return BL_EFORMAT;
  link->type = (enum bl_link_type)type;
  link->reason = (enum bl_link_reason)reason;
  link->seq = (uint32_t)v[0];
  link->ack = (uint32_t)v[1];
  link->busy = (uint32_t)v[2];
  link->flows = (uint32_t)v[3];
  link->priority = (uint8_t)v[4];
  return BL_OK;
}

int
bl_link_decode (struct bl_link_msg *link, const uint8_t *buf, size_t len)
{
  size_t window = len < BL_LINK_MAX ? len : BL_LINK_MAX;
  msgpack_zone zone;
  msgpack_object root;
  size_t off = 0;
  msgpack_unpack_return ret;
  int err = bl_msgpack_check (buf, window);

  if (err != BL_OK)
    return err;
  if (!msgpack_zone_init (&zone, ZONE_CHUNK_BYTES))
    return BL_ENOMEM;
  err = BL_EFORMAT;
  memset (link, 0, sizeof *link);
  ret = msgpack_unpack ((const char *)buf, window, &off, &zone, &root);
  if (ret == MSGPACK_UNPACK_CONTINUE)
    err = BL_ESHORT;
  else if (ret == MSGPACK_UNPACK_SUCCESS || ret == MSGPACK_UNPACK_EXTRA_BYTES)
    err = read_fields (link, &root);
  msgpack_zone_destroy (&zone);
  return err == BL_OK ? (int)off : err;
}
