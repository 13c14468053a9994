/* dispatch_compare.c -- the records of other balancers against the own

   The store tells every balancer of all instances, but its word may not reach
   one of them for many seconds: a watch can go silent while others work.  So
   each balancer compares the digest of its records with one other, picked at
   random, every COMPARE_MS.  Where they differ, each pulls from the other the
   records of those buckets whose digests differ, so what is sent follows the
   difference and not the fleet.

   Load pattern: servers have just been added, balancers restart, and packets
   of flows at the new servers reach a balancer that the store has told
   nothing.  Before it gives such a flow up, it compares with ROUND_PEERS
   others in a round; those that differ have ROUND_MS to tell it more.  Rounds
   serve all flows that wait.  */

#include "core/dispatch_inner.h"

#include <string.h>

#define COMPARE_MS    500  /* between two comparisons of a balancer's own */
#define ROUND_PEERS   3    /* balancers asked before a flow is given up */
#define ROUND_MS      100  /* a question, a pull and its answer */
#define PULL_MIN_MS   200  /* between two pulls of records */
#define SHARE_RECORDS 8    /* records that fit a datagram */
#define SHARE_MAX     64   /* records in answer to one pull */
#define SHARE_BYTES_S 8000 /* of records, while digests differ */
#define RECORD_BYTES  120  /* of one record in a message */
#define SHORT_DIGEST  4    /* bytes of a bucket's digest that are sent */

/* Up to MAX balancers that answer, picked at random.  */
static size_t
pick_peers (struct bl_dispatch *d, struct bl_target **out, size_t max)
{
  uint32_t seen = 0;
  struct bl_target *t;
  struct bl_target *next;

  HASH_ITER (hh, d->fleet.targets, t, next)
  {
    uint32_t at;
    if (t->record.kind != BL_KIND_BALANCER || t->record.state >= BL_STATE_LEFT
        || t->suspect)
      continue;
    at = seen < max ? seen : bl_random_below (&d->random, seen + 1);
    seen++;
    if (at < max)
      out[at] = t;
  }
  return seen < max ? seen : max;
}

/* -- pulling and sending records -- */

static void
pull_records (struct bl_dispatch *d, const struct bl_target *peer)
{
  const uint64_t *digests = bl_store_bucket_digests (d->fleet.store);
  uint32_t shorts[BL_STORE_BUCKETS];
  struct bl_msg msg = {
    .type = BL_MSG_PULL_RECORDS,
    .seq = bl_random_below (&d->random, BL_STORE_BUCKETS),
    .buckets = { (const char *)shorts, sizeof shorts },
  };

  if (d->now < d->next_records_ms)
    return;
  d->next_records_ms = d->now + PULL_MIN_MS;
  for (size_t i = 0; i < BL_STORE_BUCKETS; i++)
    shorts[i] = (uint32_t)digests[i];
  bl_members_send (d, bl_target_control (peer), &msg);
}

/* The full digests that THEIRS were cut from, as far as can be told: the own
   ones where they fit, others where not.  */
static void
widen (const uint64_t *own, const char *theirs, uint64_t *out)
{
  for (size_t i = 0; i < BL_STORE_BUCKETS; i++)
    {
      uint32_t cut;
      memcpy (&cut, theirs + i * SHORT_DIGEST, sizeof cut);
      out[i] = cut == (uint32_t)own[i] ? own[i] : ~own[i];
    }
}

static void
send_records (struct bl_dispatch *d,
              struct bl_addr to,
              struct bl_record *records,
              size_t count)
{
  for (size_t i = 0; i < count; i += SHARE_RECORDS)
    {
      size_t rest = count - i;
      struct bl_msg msg = {
        .type = BL_MSG_RECORDS,
        .record_count = rest < SHARE_RECORDS ? rest : SHARE_RECORDS,
        .records = records + i,
      };
      bl_members_send (d, to, &msg);
    }
  d->next_share_ms = d->now + count * RECORD_BYTES * 1000 / SHARE_BYTES_S;
}

int
bl_compare_answer (struct bl_dispatch *d,
                   struct bl_addr from,
                   const struct bl_msg *pull)
{
  struct bl_record records[SHARE_MAX];
  uint64_t theirs[BL_STORE_BUCKETS];
  size_t count;

  if (pull->buckets.len != BL_STORE_BUCKETS * SHORT_DIGEST)
    return BL_EFORMAT;
  if (d->now < d->next_share_ms)
    return BL_OK;
  widen (bl_store_bucket_digests (d->fleet.store), pull->buckets.ptr, theirs);
  count = bl_store_differing (d->fleet.store, theirs,
                              (unsigned)(pull->seq % BL_STORE_BUCKETS), records,
                              SHARE_MAX);
  send_records (d, from, records, count);
  return BL_OK;
}

/* -- comparing -- */

void
bl_compare_digest (struct bl_dispatch *d,
                   struct bl_target *peer,
                   const struct bl_msg *msg)
{
  if (msg->digest != bl_store_digest (d->fleet.store))
    {
      pull_records (d, peer);
      return;
    }
  d->vouched = d->vouched || msg->affirmative;
  if (peer->round_ms == 0 || peer->round_ms != d->round_ms)
    return;
  peer->round_ms = 0;
  d->round_left--;
}

static void
begin_round (struct bl_dispatch *d)
{
  struct bl_target *peers[ROUND_PEERS];

  d->round_ms = d->now;
  d->round_left = pick_peers (d, peers, ROUND_PEERS);
  for (size_t i = 0; i < d->round_left; i++)
    {
      peers[i]->round_ms = d->round_ms;
      bl_members_ask (d, peers[i]);
    }
}

bool
bl_compare_confirmed (struct bl_dispatch *d, uint64_t since_ms)
{
  bool over = d->round_left == 0 || d->now - d->round_ms >= ROUND_MS;

  if (d->round_ms != 0 && over)
    d->confirmed_ms = d->round_ms;
  if (d->confirmed_ms >= since_ms)
    return true;
  if (d->round_ms == 0 || over)
    begin_round (d);
  return d->round_left == 0;
}

void
bl_compare_tick (struct bl_dispatch *d)
{
  struct bl_target *peer;

  if (d->now < d->next_compare_ms)
    return;
  d->next_compare_ms = d->now + COMPARE_MS;
  if (pick_peers (d, &peer, 1) > 0)
    bl_members_ask (d, peer);
}
