/* store.c -- membership records, and those still to be sent to peers

   The triple (incarnation, seq, state) orders all versions of a record, and
   the greatest version replaces all others.  Stores therefore converge even if
   records are lost, delayed, duplicated or reordered.  A record that was
   stored is an update, which is sent to peers a limited number of times.

   The digest is the exclusive or of a hash of each live record.  It is updated
   in constant time, and two stores are compared by exchanging eight bytes.
   Records in state left or dead are tombstones: they are kept for some time,
   so that a delayed older version does not restore the record, and are not
   part of the digest.  */

#include "core/store.h"

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <uthash.h>
#include <utlist.h>

struct record_key
{
  uint8_t kind;
  struct bl_name id;
};

struct entry
{
  struct record_key key;
  unsigned bucket;
  struct bl_record record;
  uint64_t stored_ms;      /* when this version was stored */
  unsigned transmits_left; /* of this version */
  unsigned sent_count;     /* of this version */
  struct entry *prev;      /* in the list of updates */
  struct entry *next;
  struct entry *bucket_prev;
  struct entry *bucket_next;
  UT_hash_handle hh;
};

struct bl_store
{
  struct entry *entries; /* hash table by key */
  struct entry *updates; /* entries with transmits left */
  struct entry *buckets[BL_STORE_BUCKETS];
  uint64_t bucket_digests[BL_STORE_BUCKETS];
  uint64_t digest;
  uint64_t generation;
  uint64_t now_ms;
  size_t counts[2]; /* by kind */
};

/* Returns true unless R is a tombstone.  */
static bool
is_live (const struct bl_record *r)
{
  return r->state < BL_STATE_LEFT;
}

uint64_t
bl_record_digest (const struct bl_record *r)
{
  uint64_t parts[4];

  if (r == NULL || !is_live (r))
    return 0;
  parts[0] = r->kind;
  parts[1] = r->incarnation;
  parts[2] = r->seq;
  parts[3] = r->state;
  return bl_name_hash (&r->id, XXH3_64bits (parts, sizeof parts));
}

int
bl_record_compare (const struct bl_record *a, const struct bl_record *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation ? 1 : -1;
  if (a->seq != b->seq)
    return a->seq > b->seq ? 1 : -1;
  /* Only the instance itself changes between the first three states, and it
     increments seq when it does.  */
  if (a->state < BL_STATE_SUSPECT && b->state < BL_STATE_SUSPECT)
    return 0;
  return (int)a->state - (int)b->state;
}

bool
bl_record_is_superseded (const struct bl_record *record, uint64_t incarnation)
{
  return incarnation > record->incarnation && incarnation < INT64_MAX;
}

struct bl_store *
bl_store_new (void)
{
  return calloc (1, sizeof (struct bl_store));
}

void
bl_store_free (struct bl_store *store)
{
  struct entry *e;
  struct entry *next;

  if (store == NULL)
    return;
  HASH_ITER (hh, store->entries, e, next)
  {
    HASH_DEL (store->entries, e);
    free (e);
  }
  free (store);
}

static struct entry *
find (const struct bl_store *store,
      enum bl_instance_kind kind,
      const struct bl_name *id)
{
  struct record_key key;
  struct entry *e;

  memset (&key, 0, sizeof key);
  key.kind = (uint8_t)kind;
  key.id = *id;
  HASH_FIND (hh, store->entries, &key, sizeof key, e);
  return e;
}

static struct entry *
add_entry (struct bl_store *store, const struct bl_record *record)
{
  struct entry *e = calloc (1, sizeof *e);

  if (e == NULL)
    return NULL;
  e->key.kind = (uint8_t)record->kind;
  e->key.id = record->id;
  e->bucket
      = (unsigned)(bl_name_hash (&record->id, record->kind) % BL_STORE_BUCKETS);
  HASH_ADD (hh, store->entries, key, sizeof e->key, e);
  DL_APPEND2 (store->buckets[e->bucket], e, bucket_prev, bucket_next);
  store->counts[record->kind]++;
  return e;
}

int
bl_store_put (struct bl_store *store,
              const struct bl_record *record,
              unsigned transmits)
{
  struct entry *e = find (store, record->kind, &record->id);
  uint64_t change;

  if (e != NULL && bl_record_compare (record, &e->record) <= 0)
    return 0;
  if (e == NULL)
    e = add_entry (store, record);
  if (e == NULL)
    return BL_ENOMEM;
  change = bl_record_digest (record);
  if (e->record.id.len > 0)
    change ^= bl_record_digest (&e->record);
  store->digest ^= change;
  store->bucket_digests[e->bucket] ^= change;
  e->record = *record;
  e->stored_ms = store->now_ms;
  if (e->transmits_left == 0 && transmits > 0)
    DL_APPEND (store->updates, e);
  else if (e->transmits_left > 0 && transmits == 0)
    DL_DELETE (store->updates, e);
  e->transmits_left = transmits;
  e->sent_count = 0;
  store->generation++;
  return 1;
}

const struct bl_record *
bl_store_get (const struct bl_store *store,
              enum bl_instance_kind kind,
              const struct bl_name *id)
{
  struct entry *e = find (store, kind, id);
  return e != NULL ? &e->record : NULL;
}

static int
compare_sent_count (const struct entry *a, const struct entry *b)
{
  return (a->sent_count > b->sent_count) - (a->sent_count < b->sent_count);
}

bool
bl_store_has_updates (const struct bl_store *store)
{
  return store->updates != NULL;
}

size_t
bl_store_take_updates (struct bl_store *store,
                       struct bl_record *out,
                       size_t max)
{
  size_t n = 0;
  struct entry *e;
  struct entry *next;

  DL_SORT (store->updates, compare_sent_count);
  DL_FOREACH_SAFE (store->updates, e, next)
  {
    if (n == max)
      break;
    out[n++] = e->record;
    e->sent_count++;
    if (--e->transmits_left == 0)
      DL_DELETE (store->updates, e);
  }
  return n;
}

static size_t
bucket_length (const struct bl_store *store, unsigned bucket)
{
  struct entry *e;
  size_t n;

  DL_COUNT2 (store->buckets[bucket], e, n, bucket_next);
  return n;
}

size_t
bl_store_differing (const struct bl_store *store,
                    const uint64_t *peer_digests,
                    unsigned first_bucket,
                    struct bl_record *out,
                    size_t max)
{
  size_t n = 0;

  for (unsigned i = 0; i < BL_STORE_BUCKETS; i++)
    {
      unsigned b = (first_bucket + i) % BL_STORE_BUCKETS;
      struct entry *e;
      if (store->bucket_digests[b] == peer_digests[b])
        continue;
      if (n > 0 && n + bucket_length (store, b) > max)
        break;
      DL_FOREACH2 (store->buckets[b], e, bucket_next)
      {
        if (n < max)
          out[n++] = e->record;
      }
    }
  return n;
}

uint64_t
bl_store_digest (const struct bl_store *store)
{
  return store->digest;
}

const uint64_t *
bl_store_bucket_digests (const struct bl_store *store)
{
  return store->bucket_digests;
}

size_t
bl_store_count (const struct bl_store *store, enum bl_instance_kind kind)
{
  return store->counts[kind];
}

uint64_t
bl_store_generation (const struct bl_store *store)
{
  return store->generation;
}

void
bl_store_set_time (struct bl_store *store, uint64_t now_ms)
{
  store->now_ms = now_ms;
}

void
bl_store_each (struct bl_store *store,
               enum bl_instance_kind kind,
               void (*visit) (void *ctx, const struct bl_record *r),
               void *ctx)
{
  struct entry *e;
  struct entry *next;

  HASH_ITER (hh, store->entries, e, next)
  {
    if (e->record.kind == kind)
      visit (ctx, &e->record);
  }
}

size_t
bl_store_expire (struct bl_store *store, uint64_t before_ms)
{
  size_t n = 0;
  struct entry *e;
  struct entry *next;

  HASH_ITER (hh, store->entries, e, next)
  {
    if (is_live (&e->record) || e->stored_ms >= before_ms
        || e->transmits_left > 0)
      continue;
    store->counts[e->record.kind]--;
    HASH_DEL (store->entries, e);
    DL_DELETE2 (store->buckets[e->bucket], e, bucket_prev, bucket_next);
    free (e);
    n++;
  }
  return n;
}
