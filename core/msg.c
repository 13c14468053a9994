/* msg.c -- encodes and decodes control messages as MessagePack

   A message is an array with a fixed order of fields.  The library checks the
   length of each field, this module checks its type and range.  bounds.c
   limits every count before memory is allocated for it, so that a forged
   length cannot exhaust the memory.  */

#include "core/msg.h"
#include "core/json.h"
#include "core/bounds.h"
#include "core/store.h"

#include <jansson.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#define MSG_FIELDS             20 /* the last field is reserved and nil */
#define RECORD_FIELDS          15
#define FULL_SHARE_THOUSANDTHS 1000
#define FLOW_FIELDS            4
#define DIGEST_BYTES           8
#define SHORT_DIGEST_BYTES     4 /* the lower bytes of a digest */

void
bl_buffer_free (struct bl_buffer *buffer)
{
  free (buffer->ptr);
  *buffer = (struct bl_buffer){ .len = 0 };
}

static int
buffer_write (void *data, const char *bytes, size_t len)
{
  struct bl_buffer *b = data;

  if (b->len + len > b->cap)
    {
      size_t cap = (b->len + len) * 2;
      uint8_t *ptr = realloc (b->ptr, cap);
      if (ptr == NULL)
        return -1;
      b->ptr = ptr;
      b->cap = cap;
    }
  if (len > 0)
    memcpy (b->ptr + b->len, bytes, len);
  b->len += len;
  return 0;
}

/* -- encoding -- */

static void
pack_str (msgpack_packer *pk, struct bl_str text)
{
  msgpack_pack_str (pk, text.len);
  msgpack_pack_str_body (pk, text.ptr, text.len);
}

static void
pack_name (msgpack_packer *pk, const struct bl_name *name)
{
  pack_str (pk, (struct bl_str){ name->s, name->len });
}

static void
pack_bool (msgpack_packer *pk, bool value)
{
  if (value)
    msgpack_pack_true (pk);
  else
    msgpack_pack_false (pk);
}

static void
pack_record (msgpack_packer *pk, const struct bl_record *r)
{
  msgpack_pack_array (pk, RECORD_FIELDS);
  msgpack_pack_uint8 (pk, (uint8_t)r->kind);
  msgpack_pack_uint8 (pk, (uint8_t)r->state);
  pack_name (pk, &r->id);
  pack_name (pk, &r->dc);
  pack_name (pk, &r->service);
  msgpack_pack_uint32 (pk, r->ip);
  msgpack_pack_uint16 (pk, r->data_port);
  msgpack_pack_uint16 (pk, r->control_port);
  msgpack_pack_uint16 (pk, r->bulk_port);
  msgpack_pack_uint16 (pk, r->admin_port);
  msgpack_pack_uint64 (pk, r->incarnation);
  msgpack_pack_uint32 (pk, r->seq);
  msgpack_pack_uint32 (pk, r->slots);
  pack_bool (pk, r->remotely_monitored);
  pack_bool (pk, r->unhealthy);
}

static void
pack_flow (msgpack_packer *pk, const struct bl_flow_key *flow)
{
  msgpack_pack_array (pk, FLOW_FIELDS);
  msgpack_pack_uint32 (pk, flow->src_ip);
  msgpack_pack_uint32 (pk, flow->dst_ip);
  msgpack_pack_uint16 (pk, flow->src_port);
  msgpack_pack_uint16 (pk, flow->dst_port);
}

int
bl_msg_encode (const struct bl_msg *msg, struct bl_buffer *buffer)
{
  msgpack_packer pk;

  buffer->len = 0;
  msgpack_packer_init (&pk, buffer, buffer_write);
  msgpack_pack_array (&pk, MSG_FIELDS);
  msgpack_pack_uint8 (&pk, BL_MSG_VERSION);
  msgpack_pack_uint8 (&pk, (uint8_t)msg->type);
  pack_name (&pk, &msg->from);
  pack_name (&pk, &msg->subject);
  msgpack_pack_uint64 (&pk, msg->seq);
  msgpack_pack_uint64 (&pk, msg->incarnation);
  msgpack_pack_uint64 (&pk, msg->config_from);
  msgpack_pack_uint64 (&pk, msg->config_version);
  msgpack_pack_uint64 (&pk, msg->digest);
  pack_bool (&pk, msg->affirmative);
  if (msg->flow.src_port != 0)
    pack_flow (&pk, &msg->flow);
  else
    msgpack_pack_nil (&pk);
  msgpack_pack_uint32 (&pk, msg->ack);
  msgpack_pack_uint32 (&pk, msg->load);
  msgpack_pack_uint32 (&pk, msg->flows);
  msgpack_pack_uint32 (&pk, msg->warm_up_share);
  msgpack_pack_array (&pk, msg->dcs_without_balancers.count);
  for (size_t i = 0; i < msg->dcs_without_balancers.count; i++)
    pack_name (&pk, &msg->dcs_without_balancers.items[i]);
  msgpack_pack_bin (&pk, msg->buckets.len);
  msgpack_pack_bin_body (&pk, msg->buckets.ptr, msg->buckets.len);
  msgpack_pack_array (&pk, msg->record_count);
  for (size_t i = 0; i < msg->record_count; i++)
    pack_record (&pk, &msg->records[i]);
  msgpack_pack_array (&pk, msg->service_count);
  for (size_t i = 0; i < msg->service_count; i++)
    pack_str (&pk, msg->services[i]);
  /* Only the last write is checked, on the assumption that it fails too if the
     buffer could not grow before.  */
  return msgpack_pack_nil (&pk) == 0 ? BL_OK : BL_ENOMEM;
}

/* -- decoding -- */

/* Reads the objects of an array in order.  ERR is the last error found, BL_OK
   if there was none.  */
struct object_reader
{
  const msgpack_object *next;
  int err;
};

static uint64_t
read_uint (struct object_reader *reader, uint64_t max)
{
  const msgpack_object *o = reader->next++;

  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    reader->err = BL_EFORMAT;
  else if (o->via.u64 > max)
    reader->err = BL_ERANGE;
  else
    return o->via.u64;
  return 0;
}

static bool
read_bool (struct object_reader *reader)
{
  const msgpack_object *o = reader->next++;

  if (o->type != MSGPACK_OBJECT_BOOLEAN)
    reader->err = BL_EFORMAT;
  return o->type == MSGPACK_OBJECT_BOOLEAN && o->via.boolean;
}

static void
read_name (struct object_reader *reader, struct bl_name *name)
{
  const msgpack_object *o = reader->next++;

  memset (name, 0, sizeof *name);
  if (o->type != MSGPACK_OBJECT_STR)
    reader->err = BL_EFORMAT;
  else if (o->via.str.size > 0
           && bl_name_set (name,
                           (struct bl_str){ o->via.str.ptr, o->via.str.size })
                  != BL_OK)
    reader->err = BL_ERANGE;
}

static void
read_flow (struct object_reader *reader, struct bl_flow_key *flow)
{
  const msgpack_object *o = reader->next++;
  struct object_reader inner = { .err = BL_OK };

  if (o->type == MSGPACK_OBJECT_NIL)
    return;
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != FLOW_FIELDS)
    {
      reader->err = BL_EFORMAT;
      return;
    }
  inner.next = o->via.array.ptr;
  flow->src_ip = (uint32_t)read_uint (&inner, UINT32_MAX);
  flow->dst_ip = (uint32_t)read_uint (&inner, UINT32_MAX);
  flow->src_port = (uint16_t)read_uint (&inner, UINT16_MAX);
  flow->dst_port = (uint16_t)read_uint (&inner, UINT16_MAX);
  if (inner.err != BL_OK)
    reader->err = inner.err;
}

static int
read_record (const msgpack_object *o, struct bl_record *r)
{
  struct object_reader reader = { .err = BL_OK };

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != RECORD_FIELDS)
    return BL_EFORMAT;
  reader.next = o->via.array.ptr;
  r->kind = (enum bl_instance_kind)read_uint (&reader, BL_KIND_BACKEND);
  r->state = (enum bl_instance_state)read_uint (&reader, BL_STATE_DEAD);
  read_name (&reader, &r->id);
  read_name (&reader, &r->dc);
  read_name (&reader, &r->service);
  r->ip = (uint32_t)read_uint (&reader, UINT32_MAX);
  r->data_port = (uint16_t)read_uint (&reader, UINT16_MAX);
  r->control_port = (uint16_t)read_uint (&reader, UINT16_MAX);
  r->bulk_port = (uint16_t)read_uint (&reader, UINT16_MAX);
  r->admin_port = (uint16_t)read_uint (&reader, UINT16_MAX);
  r->incarnation = read_uint (&reader, UINT64_MAX);
  r->seq = (uint32_t)read_uint (&reader, UINT32_MAX);
  r->slots = (uint32_t)read_uint (&reader, UINT32_MAX);
  r->remotely_monitored = read_bool (&reader);
  r->unhealthy = read_bool (&reader);
  if (reader.err == BL_OK && (r->id.len == 0 || r->dc.len == 0))
    return BL_ERANGE;
  if (reader.err == BL_OK && r->kind == BL_KIND_BACKEND && r->service.len == 0)
    return BL_ERANGE;
  return reader.err;
}

static void
read_records (struct object_reader *reader, struct bl_msg *msg)
{
  const msgpack_object *o = reader->next++;

  if (reader->err != BL_OK)
    return;
  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > BL_MSG_RECORDS_MAX)
    {
      reader->err = BL_EFORMAT;
      return;
    }
  msg->record_count = o->via.array.size;
  msg->records = calloc (msg->record_count + 1, sizeof *msg->records);
  if (msg->records == NULL)
    reader->err = BL_ENOMEM;
  for (size_t i = 0; i < msg->record_count && reader->err == BL_OK; i++)
    reader->err = read_record (&o->via.array.ptr[i], &msg->records[i]);
}

static int
copy_bytes (struct bl_str *out, const char *ptr, size_t len)
{
  char *copy = malloc (len + 1);

  if (copy == NULL)
    return BL_ENOMEM;
  memcpy (copy, ptr, len);
  copy[len] = '\0';
  *out = (struct bl_str){ .ptr = copy, .len = len };
  return BL_OK;
}

static void
read_services (struct object_reader *reader, struct bl_msg *msg)
{
  const msgpack_object *o = reader->next++;

  if (reader->err != BL_OK)
    return;
  if (o->type != MSGPACK_OBJECT_ARRAY
      || o->via.array.size > BL_MSG_SERVICES_MAX)
    {
      reader->err = BL_EFORMAT;
      return;
    }
  msg->services = calloc (o->via.array.size + 1, sizeof *msg->services);
  if (msg->services == NULL)
    reader->err = BL_ENOMEM;
  for (size_t i = 0; i < o->via.array.size && reader->err == BL_OK; i++)
    {
      const msgpack_object *s = &o->via.array.ptr[i];
      if (s->type != MSGPACK_OBJECT_STR)
        reader->err = BL_EFORMAT;
      else
        reader->err
            = copy_bytes (&msg->services[i], s->via.str.ptr, s->via.str.size);
      msg->service_count += reader->err == BL_OK ? 1 : 0;
    }
}

static void
read_dcs_without_balancers (struct object_reader *reader, struct bl_msg *msg)
{
  const msgpack_object *o = reader->next++;
  struct object_reader inner = { .err = BL_OK };

  if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > BL_NAMES_MAX)
    {
      reader->err = BL_EFORMAT;
      return;
    }
  inner.next = o->via.array.ptr;
  msg->dcs_without_balancers.count = o->via.array.size;
  for (size_t i = 0; i < msg->dcs_without_balancers.count; i++)
    read_name (&inner, &msg->dcs_without_balancers.items[i]);
  if (inner.err != BL_OK)
    reader->err = inner.err;
}

static void
read_buckets (struct object_reader *reader, struct bl_msg *msg)
{
  const msgpack_object *o = reader->next++;

  if (reader->err != BL_OK)
    return;
  if (o->type != MSGPACK_OBJECT_BIN
      || (o->via.bin.size != 0
          && o->via.bin.size != BL_STORE_BUCKETS * DIGEST_BYTES
          && o->via.bin.size != BL_STORE_BUCKETS * SHORT_DIGEST_BYTES))
    reader->err = BL_EFORMAT;
  else if (o->via.bin.size > 0)
    reader->err = copy_bytes (&msg->buckets, o->via.bin.ptr, o->via.bin.size);
}

static int
read_message (struct bl_msg *msg, const msgpack_object *root)
{
  struct object_reader reader = { .err = BL_OK };

  if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0)
    return BL_EFORMAT;
  reader.next = root->via.array.ptr;
  if (read_uint (&reader, UINT8_MAX) != BL_MSG_VERSION)
    return reader.err != BL_OK ? reader.err : BL_EVERSION;
  if (root->via.array.size != MSG_FIELDS)
    return BL_EFORMAT;
  msg->type = (enum bl_msg_type)read_uint (&reader, BL_MSG_TYPE_END - 1);
  read_name (&reader, &msg->from);
  read_name (&reader, &msg->subject);
  msg->seq = read_uint (&reader, UINT64_MAX);
  msg->incarnation = read_uint (&reader, UINT64_MAX);
  msg->config_from = read_uint (&reader, UINT64_MAX);
  msg->config_version = read_uint (&reader, UINT64_MAX);
  msg->digest = read_uint (&reader, UINT64_MAX);
  msg->affirmative = read_bool (&reader);
  read_flow (&reader, &msg->flow);
  msg->ack = (uint32_t)read_uint (&reader, UINT32_MAX);
  msg->load = (uint32_t)read_uint (&reader, UINT32_MAX);
  msg->flows = (uint32_t)read_uint (&reader, UINT32_MAX);
  msg->warm_up_share = (uint32_t)read_uint (&reader, FULL_SHARE_THOUSANDTHS);
  read_dcs_without_balancers (&reader, msg);
  read_buckets (&reader, msg);
  read_records (&reader, msg);
  read_services (&reader, msg);
  if (reader.err == BL_OK && (msg->type == 0 || msg->from.len == 0))
    return BL_ERANGE;
  return reader.err;
}

int
bl_msg_decode (struct bl_msg *msg, const uint8_t *buf, size_t len)
{
  msgpack_unpacked unpacked;
  size_t off = 0;
  msgpack_unpack_return ret;
  int err = bl_msgpack_check (buf, len);

  memset (msg, 0, sizeof *msg);
  if (len > BL_MSG_BYTES_MAX)
    return BL_ERANGE;
  if (err != BL_OK)
    return err;
  err = BL_EFORMAT;
  msgpack_unpacked_init (&unpacked);
  ret = msgpack_unpack_next (&unpacked, (const char *)buf, len, &off);
  if (ret == MSGPACK_UNPACK_CONTINUE)
    err = BL_ESHORT;
  else if (ret == MSGPACK_UNPACK_SUCCESS && off == len)
    err = read_message (msg, &unpacked.data);
  msgpack_unpacked_destroy (&unpacked);
  if (err != BL_OK)
    bl_msg_clear (msg);
  return err;
}

void
bl_msg_clear (struct bl_msg *msg)
{
  for (size_t i = 0; i < msg->service_count; i++)
    free ((char *)msg->services[i].ptr);
  free (msg->services);
  free ((char *)msg->buckets.ptr);
  free (msg->records);
  memset (msg, 0, sizeof *msg);
}

/* -- services as JSON text -- */

char *
bl_service_format (const struct bl_service *service)
{
  json_t *json = bl_service_to_json (service);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static int
parse_service_text (struct bl_service **out, struct bl_str text)
{
  struct bl_findings findings = { .count = 0 };
  json_t *json = bl_json_parse (text, NULL);
  int err;

  *out = NULL;
  if (json == NULL)
    return BL_EFORMAT;
  err = bl_service_from_json (out, json, "service", &findings);
  json_decref (json);
  return err;
}

int
bl_msg_parse_services (const struct bl_msg *msg, struct bl_service ***out)
{
  struct bl_service **list = calloc (msg->service_count + 1, sizeof *list);
  int err = list != NULL ? BL_OK : BL_ENOMEM;

  *out = NULL;
  for (size_t i = 0; i < msg->service_count && err == BL_OK; i++)
    err = parse_service_text (&list[i], msg->services[i]);
  if (err == BL_OK)
    {
      *out = list;
      return BL_OK;
    }
  for (size_t i = 0; list != NULL && i < msg->service_count; i++)
    bl_service_free (list[i]);
  free (list);
  return err;
}
