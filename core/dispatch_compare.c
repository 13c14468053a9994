/* dispatch_compare.c -- anti-entropy: comparison of the membership records with
   those of other balancers

   The store reports all instances to every balancer, but its reports may not
   reach a balancer for many seconds: one watch can fall silent while others
   work.  Therefore each balancer compares the digest of its records with that
   of another balancer, selected at random, every COMPARE_INTERVAL_MS.  Where
   the digests differ, each of the two pulls from the other the records of the
   buckets whose digests differ, so the traffic grows with the difference and
   not with the fleet.

   Load pattern: servers have just been added, balancers restart, and packets of
   flows at the new servers reach a balancer that has no report from the store.
   Before a balancer resets such a flow, it compares its records with
   ROUND_PEERS others in a round; those that differ have ROUND_TIMEOUT_MS to
   send records.  One round serves all flows that wait for it.  */

#include "core/dispatch_inner.h"

#include <string.h>

#define COMPARE_INTERVAL_MS  500  /* between the comparisons of a balancer */
#define ROUND_PEERS          3    /* compared with before a flow is reset */
#define ROUND_TIMEOUT_MS     100  /* for a status request, a pull, its reply */
#define PULL_INTERVAL_MIN_MS 200  /* between two pulls of records */
#define RECORDS_PER_DATAGRAM 8    /* as many as fit */
#define RECORDS_PER_PULL_MAX 64   /* sent in reply to one pull */
#define RECORD_BYTES_PER_S   8000 /* sent while digests differ */
#define RECORD_BYTES         120  /* size of a record in a message */
#define SHORT_DIGEST_BYTES   4    /* of a bucket's digest that are sent */

/* Selects up to MAX balancers at random among those that are not suspect.
   Returns their number.  */
static size_t
pick_peers (struct bl_dispatch *d, struct bl_instance **out, size_t max)
{
  uint32_t seen = 0;
  struct bl_instance *instance;
  struct bl_instance *next;

  HASH_ITER (hh, d->fleet.instances, instance, next)
  {
    uint32_t at;
    if (instance->record.kind != BL_KIND_BALANCER
        || instance->record.state >= BL_STATE_LEFT || instance->suspect)
      continue;
    at = seen < max ? seen : bl_random_below (&d->random, seen + 1);
    seen++;
    if (at < max)
      out[at] = instance;
  }
  return seen < max ? seen : max;
}

/* -- pulling and sending records -- */

/* Requests from PEER the records of the buckets whose digests differ, starting
   with a random bucket.  */
static void
pull_records (struct bl_dispatch *d, const struct bl_instance *peer)
{
  const uint64_t *digests = bl_store_bucket_digests (d->fleet.store);
  uint32_t short_digests[BL_STORE_BUCKETS];
  struct bl_msg msg = {
    .type = BL_MSG_PULL_RECORDS,
    .seq = bl_random_below (&d->random, BL_STORE_BUCKETS),
    .buckets = { (const char *)short_digests, sizeof short_digests },
  };

  if (d->now < d->next_records_pull_ms)
    return;
  d->next_records_pull_ms = d->now + PULL_INTERVAL_MIN_MS;
  for (size_t i = 0; i < BL_STORE_BUCKETS; i++)
    short_digests[i] = (uint32_t)digests[i];
  bl_members_send (d, bl_instance_control_address (peer), &msg);
}

/* Writes a full digest to OUT for each of the shortened PEER_DIGESTS: the own
   digest if its lower bytes are the same, otherwise a different digest.  */
static void
expand_digests (const uint64_t *own, const char *peer_digests, uint64_t *out)
{
  for (size_t i = 0; i < BL_STORE_BUCKETS; i++)
    {
      uint32_t low;
      memcpy (&low, peer_digests + i * SHORT_DIGEST_BYTES, sizeof low);
      out[i] = low == (uint32_t)own[i] ? own[i] : ~own[i];
    }
}

static void
send_records (struct bl_dispatch *d,
              struct bl_addr to,
              struct bl_record *records,
              size_t count)
{
  for (size_t i = 0; i < count; i += RECORDS_PER_DATAGRAM)
    {
      size_t rest = count - i;
      struct bl_msg msg = {
        .type = BL_MSG_RECORDS,
        .record_count
        = rest < RECORDS_PER_DATAGRAM ? rest : RECORDS_PER_DATAGRAM,
        .records = records + i,
      };
      bl_members_send (d, to, &msg);
    }
  d->next_records_send_ms
      = d->now + count * RECORD_BYTES * 1000 / RECORD_BYTES_PER_S;
}

int
bl_compare_send_records (struct bl_dispatch *d,
                         struct bl_addr from,
                         const struct bl_msg *pull)
{
  struct bl_record records[RECORDS_PER_PULL_MAX];
  uint64_t peer_digests[BL_STORE_BUCKETS];
  size_t count;

  if (pull->buckets.len != BL_STORE_BUCKETS * SHORT_DIGEST_BYTES)
    return BL_EFORMAT;
  if (d->now < d->next_records_send_ms)
    return BL_OK;
  expand_digests (bl_store_bucket_digests (d->fleet.store), pull->buckets.ptr,
                  peer_digests);
  count = bl_store_differing (d->fleet.store, peer_digests,
                              (unsigned)(pull->seq % BL_STORE_BUCKETS), records,
                              RECORDS_PER_PULL_MAX);
  send_records (d, from, records, count);
  return BL_OK;
}

/* -- comparison -- */

void
bl_compare_on_digest (struct bl_dispatch *d,
                      struct bl_instance *peer,
                      const struct bl_msg *msg)
{
  if (msg->digest != bl_store_digest (d->fleet.store))
    {
      pull_records (d, peer);
      return;
    }
  d->records_confirmed = d->records_confirmed || msg->affirmative;
  if (peer->compare_round_ms == 0
      || peer->compare_round_ms != d->round_start_ms)
    return;
  peer->compare_round_ms = 0;
  d->round_pending--;
}

static void
start_round (struct bl_dispatch *d)
{
  struct bl_instance *peers[ROUND_PEERS];

  d->round_start_ms = d->now;
  d->round_pending = pick_peers (d, peers, ROUND_PEERS);
  for (size_t i = 0; i < d->round_pending; i++)
    {
      peers[i]->compare_round_ms = d->round_start_ms;
      bl_members_request_status (d, peers[i]);
    }
}

bool
bl_compare_confirmed (struct bl_dispatch *d, uint64_t since_ms)
{
  bool ended
      = d->round_pending == 0 || d->now - d->round_start_ms >= ROUND_TIMEOUT_MS;

  if (d->round_start_ms != 0 && ended)
    d->confirmed_round_ms = d->round_start_ms;
  if (d->confirmed_round_ms >= since_ms)
    return true;
  if (d->round_start_ms == 0 || ended)
    start_round (d);
  return d->round_pending == 0;
}

void
bl_compare_tick (struct bl_dispatch *d)
{
  struct bl_instance *peer;

  if (d->now < d->next_compare_ms)
    return;
  d->next_compare_ms = d->now + COMPARE_INTERVAL_MS;
  if (pick_peers (d, &peer, 1) > 0)
    bl_members_request_status (d, peer);
}
