/* test_dispatch.c -- the path on which backend servers end flows, under faults

   Each case runs the real core of balancers and agents in the emulator and
   brings about one failure, or several.  */

#include "core/msg.h"
#include "emulator/emulator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define SEED    41
#define SEEDS   3
#define WARM_MS 8000 /* until a fault */
#define CROWD   2.0  /* times the load: callers of a burst come back at once */

static struct em_settings
deployment (uint64_t seed)
{
  return (struct em_settings){
    .seed = seed,
    .dcs = 4,
    .balancers = { 2, 2, 1, 1 },
    .service_count = 2,
    .services = {
      { "listing-core", { 2, 2, 2, 1 }, 2, 8 },
      { "photo-serve", { 1, 1, 1, 1 }, 2, 8 },
    },
    .class_count = 3,
    .classes = {
      { .name = "alert", .service = 0, .flow_mode = EM_PERSISTENT_FLOW, .repeatable = true,
        .users = 60, .pause_ms = 800, .work_ms = 15, .response_target_ms = 120,
        .deadline_ms = 1000, .retries = 2 },
      { .name = "sync", .service = 0, .flow_mode = EM_PERSISTENT_FLOW,
        .users = 20, .pause_ms = 900, .work_ms = 20, .response_target_ms = 150,
        .deadline_ms = 1200, .retries = 2 },
      { .name = "photo", .service = 1, .flow_mode = EM_FLOW_PER_REQUEST, .repeatable = true,
        .users = 6, .pause_ms = 900, .work_ms = 5, .response_target_ms = 500,
        .deadline_ms = 5000, .retries = 2 },
    },
    .near_ms = 0.1,
    .far_ms = 4.5,
    .caller_ms = 1,
    .loss = 5,
  };
}

/* -- faults -- */

static void
nothing (struct em *em)
{
  (void)em;
}

static void
balancers_killed_in_turn (struct em *em)
{
  for (size_t i = 0; i < em_balancer_count (em); i++)
    {
      em_kill_balancer (em, i, 500);
      em_run (em, em_elapsed_ms (em) + 1500);
    }
}

static void
balancers_join (struct em *em)
{
  for (unsigned dc = 0; dc < 4; dc++)
    em_add_balancer (em, dc);
}

/* Agents join while owners are being asked for: the list of those asked must
   hold them.  */
static void
all_join_at_once (struct em *em)
{
  balancers_join (em);
  for (unsigned i = 0; i < 24; i++)
    {
      em_add_server (em, i % 2, i % 4);
      em_run (em, em_elapsed_ms (em) + 40);
    }
}

static void
agents_stopped_in_turn (struct em *em)
{
  for (size_t i = 0; i < em_server_count (em); i++)
    {
      em_stop_agent (em, i, 300);
      em_run (em, em_elapsed_ms (em) + 900);
    }
}

static void
agents_killed_in_turn (struct em *em)
{
  for (size_t i = 0; i < em_server_count (em); i++)
    {
      em_kill_agent (em, i, 300);
      em_run (em, em_elapsed_ms (em) + 900);
    }
}

static void
agents_and_balancers_killed (struct em *em)
{
  for (size_t i = 0; i < em_server_count (em); i++)
    em_kill_agent (em, i, 1000);
  for (size_t i = 0; i < em_balancer_count (em); i++)
    em_kill_balancer (em, i, 1000);
}

static void
all_killed_without_store (struct em *em)
{
  em_set_store_up (em, false);
  for (size_t i = 0; i < em_server_count (em); i++)
    em_kill_agent (em, i, 700);
}

static void
all_lose_power (struct em *em)
{
  em_power_off (em, 1000);
}

static void
servers_replaced (struct em *em)
{
  for (size_t i = 0; i < 3; i++)
    {
      em_add_server (em, 0, (unsigned)i);
      em_drain_server (em, i);
      em_run (em, em_elapsed_ms (em) + 1500);
    }
}

static void
servers_crash (struct em *em)
{
  em_crash_server (em, 0, 3000);
  em_crash_server (em, 4, 0);
}

static void
servers_cut (struct em *em)
{
  em_disconnect_server (em, 1, 4000);
  em_disconnect_server (em, 5, 0);
}

static void
balancer_cut (struct em *em)
{
  em_disconnect_balancer (em, 0, 5000);
}

static void
route_dropped (struct em *em)
{
  em_set_routes (em, 7, 2);
}

/* The store no longer tells one balancer of new agents, and flows at these
   move to it.  */
static void
flows_move_to_the_uninformed (struct em *em)
{
  em_disconnect_store (em, 0, 0);
  for (unsigned i = 0; i < 8; i++)
    em_add_server (em, i % 2, i % 4);
  em_run (em, em_elapsed_ms (em) + 2000);
  em_kill_balancer (em, 1, 3000);
}

/* Agents and balancers start again while clocks stand before their last start,
   and others at addresses of before.  */
static void
clocks_set_back (struct em *em)
{
  em_set_clock_offset (em, -20000);
  for (size_t i = 0; i < em_server_count (em); i++)
    em_stop_agent (em, i, 300);
  em_run (em, em_elapsed_ms (em) + 3000);
  for (size_t i = 0; i < em_balancer_count (em); i += 2)
    em_kill_balancer (em, i, 300);
}

/* What a run must keep, beside what all must.  */
struct kept
{
  uint64_t broken;    /* flows, at most */
  double least_share; /* of requests answered after the fault */
};

static const struct
{
  const char *name;
  void (*fault) (struct em *em);
  struct kept kept;
} cases[] = {
  { "nothing", nothing, { 0, 0.999 } },
  { "balancers killed in turn", balancers_killed_in_turn, { 0, 0.95 } },
  { "balancers join", balancers_join, { 0, 0.995 } },
  { "all join at once", all_join_at_once, { 0, 0.99 } },
  { "agents stopped in turn", agents_stopped_in_turn, { 0, 0.95 } },
  { "agents killed in turn", agents_killed_in_turn, { 0, 0.95 } },
  { "agents and balancers killed", agents_and_balancers_killed, { 0, 0.80 } },
  { "all agents killed, store down", all_killed_without_store, { 0, 0.80 } },
  { "all lose power", all_lose_power, { 0, 0.80 } },
  { "servers replaced", servers_replaced, { 0, 0.99 } },
  { "servers crash", servers_crash, { 0, 0.95 } },
  { "servers cut", servers_cut, { 0, 0.95 } },
  { "balancer cut", balancer_cut, { 0, 0.90 } },
  { "route dropped", route_dropped, { 0, 0.90 } },
  { "clocks set back", clocks_set_back, { 0, 0.95 } },
  { "flows move to the uninformed", flows_move_to_the_uninformed, { 0, 0.95 } },
};

static struct em_outcome
sum (const struct em *em)
{
  return em_sum_classes (em_totals (em));
}

static void
run_case (size_t i, uint64_t seed)
{
  struct em_settings settings = deployment (seed);
  struct em *em = em_new (&settings);
  const struct em_totals *t = em_totals (em);
  struct em_outcome all;
  double share;

  em_run (em, WARM_MS);
  em_reset_totals (em);
  cases[i].fault (em);
  em_run (em, em_elapsed_ms (em) + WARM_MS);
  all = sum (em);
  share = (double)(all.in_time + all.late) / (double)all.requests;
  if (getenv ("SECONDS_SHOWN") != NULL)
    for (size_t s = WARM_MS / 1000; s < EM_SECONDS_MAX; s++)
      if (t->seconds[s].requests > 0)
        printf (
            "  %zu: asked %lu in time %lu late %lu failed %lu refused %lu\n", s,
            t->seconds[s].requests, t->seconds[s].in_time, t->seconds[s].late,
            t->seconds[s].failed, t->seconds[s].refused);
  printf ("%-30s seed %lu: asked %lu in time %lu late %lu failed %lu refused "
          "%lu broken %lu stray %lu far %.2f\n",
          cases[i].name, seed, all.requests, all.in_time, all.late, all.failed,
          all.refused, t->broken, t->unknown_flow_packets,
          (double)t->far_packets / (double)(t->far_packets + t->near_packets));
  assert_true (t->broken <= cases[i].kept.broken);
  assert_int_equal (t->wrong_service, 0);
  assert_int_equal (t->after_drain, 0);
  assert_int_equal (t->duplicate_runs, 0);
  assert_true (share >= cases[i].kept.least_share);
  em_free (em);
}

static void
test_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++)
      run_case (i, seed);
}

/* The same in a fleet where each pair of balancers compares notes seldom.  New
   routes make all of them do so at once, and for some seconds none would
   again: meanwhile a part of them is told nothing by the store, agents join,
   and balancers are killed.  */
static void
test_many_uninformed (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++)
    {
      struct em_settings settings = deployment (seed);
      struct em *em;
      for (unsigned dc = 0; dc < 4; dc++)
        {
          settings.balancers[dc] = 6;
          settings.services[0].servers[dc] = 12;
          settings.services[1].servers[dc] = 3;
        }
      for (size_t i = 0; i < settings.class_count; i++)
        settings.classes[i].users *= 4;
      em = em_new (&settings);
      em_run (em, WARM_MS);
      for (size_t i = 0; i < em_balancer_count (em); i += 4)
        em_disconnect_store (em, i, 0);
      em_set_routes (em, 7, EM_CLASSES_MAX);
      em_run (em, em_elapsed_ms (em) + 1000);
      for (unsigned i = 0; i < 24; i++)
        em_add_server (em, i % 2, i % 4);
      em_run (em, em_elapsed_ms (em) + 500);
      for (size_t i = 0; i < 24; i++)
        em_crash_server (em, i, 0);
      em_run (em, em_elapsed_ms (em) + 2000);
      for (size_t i = 0; i < em_balancer_count (em); i++)
        if (i % 4 == 1 || i % 4 == 2)
          em_kill_balancer (em, i, 3000);
      em_run (em, em_elapsed_ms (em) + 3000);
      printf ("many uninformed, seed %lu: asked %lu broken %lu\n", seed,
              sum (em).requests, em_totals (em)->broken);
      assert_int_equal (em_totals (em)->broken, 0);
      em_free (em);
    }
}

/* After a loss of power all callers open their flows anew at once, while
   servers are slow.  A request that a server sheds has cost its caller a try:
   at most one in a hundred may.  */
static void
test_nothing_shed_after_power_loss (void **state)
{
  (void)state;
  for (uint64_t seed = SEED; seed < SEED + SEEDS; seed++)
    {
      struct em_settings settings = deployment (seed);
      struct em *em = em_new (&settings);
      em_set_load_factor (em, CROWD);
      em_run (em, WARM_MS);
      em_reset_totals (em);
      em_power_off (em, 1000);
      em_run (em, em_elapsed_ms (em) + 6000);
      printf ("power lost under load, seed %lu: asked %lu shed %lu\n", seed,
              sum (em).requests, em_totals (em)->shed);
      assert_true (em_totals (em)->shed * 100 <= sum (em).requests);
      em_free (em);
    }
}

/* -- one balancer, told step by step -- */

/* What the balancer asked its surroundings for.  */
struct seen
{
  unsigned queries;
  unsigned packets;
  unsigned resets;
  unsigned sent; /* messages */
};

static void
on_to_agent (void *ctx,
             struct bl_addr to,
             const struct bl_link_msg *link,
             const uint8_t *packet,
             size_t len)
{
  struct seen *seen = ctx;

  (void)to;
  (void)packet;
  (void)len;
  seen->queries += link->type == BL_LINK_OWNER_QUERY;
  seen->packets += link->type == BL_LINK_PACKET;
}

static void
on_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  (void)key;
  (void)seq;
  ((struct seen *)ctx)->resets++;
}

static void
on_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)to;
  (void)buf;
  (void)len;
  ((struct seen *)ctx)->sent++;
}

static void
on_pull (void *ctx, const struct bl_instance *peer)
{
  (void)ctx;
  (void)peer;
}

static void
on_decided (void *ctx, const struct bl_decision *decision)
{
  (void)ctx;
  (void)decision;
}

static const struct bl_dispatch_ops step_ops = {
  .send_to_agent = on_to_agent,
  .reset = on_reset,
  .send = on_send,
  .pull = on_pull,
  .log_decision = on_decided,
};

static const struct bl_flow_key step_key = { 1, 0xc6120001, 1024, 443 };

static struct bl_route_table *
one_route (uint64_t version, const char *service, const char *other)
{
  const char *names[] = { service, other };
  struct bl_route_table *table = bl_route_table_new (1);
  struct bl_route_entry *r = &table->routes[0];

  table->version = version;
  table->count = 1;
  r->ip = step_key.dst_ip;
  r->port = step_key.dst_port;
  for (size_t i = 0; i < 2 && names[i] != NULL; i++)
    {
      bl_name_set (&r->splits[i].service, bl_str_of (names[i]));
      r->splits[i].service_hash = bl_name_hash (&r->splits[i].service, 0);
      r->splits[i].weight = 1;
      r->split_count++;
    }
  return table;
}

static struct bl_dispatch *
one_balancer (struct seen *seen)
{
  struct bl_dispatch_settings settings
      = { .self = { .kind = BL_KIND_BALANCER, .ip = 1 }, .random_seed = SEED };
  struct bl_dispatch *d;

  bl_name_set (&settings.self.id, bl_str_of ("b"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  d = bl_dispatch_new (&settings, &step_ops, seen);
  bl_dispatch_configure (d, 1, one_route (1, "s", NULL));
  return d;
}

static void
learn_agent (struct bl_dispatch *d,
             uint64_t now,
             uint32_t ip,
             const char *service)
{
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = ip,
    .data_port = 1,
    .control_port = 2,
    .incarnation = 1,
    .seq = 1,
    .slots = 2,
  };
  char name[16];

  snprintf (name, sizeof name, "a%u", ip);
  bl_name_set (&r.id, bl_str_of (name));
  bl_name_set (&r.dc, bl_str_of ("dc"));
  bl_name_set (&r.service, bl_str_of (service));
  bl_dispatch_apply_record (d, now, &r);
}

static void
learn_peer (struct bl_dispatch *d, uint32_t ip, enum bl_instance_state state)
{
  struct bl_record r = {
    .kind = BL_KIND_BALANCER,
    .state = state,
    .ip = ip,
    .data_port = 1,
    .control_port = 2,
    .incarnation = 1,
    .seq = 1 + (uint32_t)state,
  };
  char name[16];

  snprintf (name, sizeof name, "b%u", ip);
  bl_name_set (&r.id, bl_str_of (name));
  bl_name_set (&r.dc, bl_str_of ("dc"));
  bl_dispatch_apply_record (d, 10, &r);
}

/* An agent answers the question about ACK.  */
static void
agent_says_of (struct bl_dispatch *d,
               uint64_t now,
               uint32_t ip,
               enum bl_link_type type,
               uint32_t ack)
{
  struct bl_link_msg link
      = { .type = type, .key = step_key, .incarnation = 1, .ack = ack };

  bl_dispatch_link (d, now, (struct bl_addr){ ip, 1 }, &link, NULL, NULL, 0);
}

static void
agent_says (struct bl_dispatch *d,
            uint64_t now,
            uint32_t ip,
            enum bl_link_type type)
{
  agent_says_of (d, now, ip, type, 0);
}

static void
send_packet (struct bl_dispatch *d, uint64_t now, uint32_t ack, uint16_t len)
{
  struct bl_packet p = {
    .key = step_key, .flags = BL_TCP_ACK, .ack = ack, .payload_len = len
  };

  bl_dispatch_packet (d, now, &p, (const uint8_t *)&p, sizeof p);
}

static void
send_data (struct bl_dispatch *d, uint64_t now)
{
  send_packet (d, now, 0, 10);
}

/* A packet of an ended flow comes late, and while agents are asked whose it is
   its port is used again: their denials say nothing of the new flow.  */
static void
test_port_used_again_meanwhile (void **state)
{
  const uint32_t former = 7;
  const uint32_t present = 0x40000000;
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "s");
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 400);
  send_packet (d, 410, former, 0);
  agent_says_of (d, 411, 11, BL_LINK_NOT_OWNED, former);
  send_packet (d, 412, present, 10);
  /* One answers late, the other's answer was doubled on the way.  */
  agent_says_of (d, 413, 12, BL_LINK_NOT_OWNED, former);
  agent_says_of (d, 413, 11, BL_LINK_NOT_OWNED, former);
  assert_int_equal (seen.resets, 0);
  assert_int_equal (seen.queries, 4);
  agent_says_of (d, 414, 12, BL_LINK_NOT_OWNED, present);
  assert_int_equal (seen.resets, 0);
  agent_says_of (d, 415, 11, BL_LINK_OWNED, present);
  assert_int_equal (seen.resets, 0);
  assert_int_equal (seen.packets, 1);
  bl_dispatch_free (d);
}

/* A balancer that has just started knows two of three agents: that both deny a
   flow does not prove that nobody holds it.  */
static void
test_denials_of_a_part (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "s");
  send_data (d, 20);
  agent_says (d, 30, 11, BL_LINK_NOT_OWNED);
  agent_says (d, 30, 12, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 0);
  learn_agent (d, 100, 13, "s");
  bl_dispatch_list_complete (d, 100);
  send_data (d, 220);
  agent_says (d, 230, 13, BL_LINK_OWNED);
  assert_int_equal (seen.packets, 1);
  assert_int_equal (seen.resets, 0);
  bl_dispatch_free (d);
}

/* A flow lives at a service that its route no longer leads to, and does again
   while its owner is being asked for.  */
static void
test_routes_change_meanwhile (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "t");
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 400);
  send_data (d, 410);
  bl_dispatch_configure (d, 415, one_route (2, "s", "t"));
  agent_says (d, 420, 11, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 0);
  assert_int_equal (seen.queries, 2);
  agent_says (d, 430, 12, BL_LINK_OWNED);
  assert_int_equal (seen.packets, 1);
  bl_dispatch_free (d);
}

/* Packets come before the first tick, at a late hour of the clock.  */
static void
test_denials_before_first_tick (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 50000, 11, "s");
  send_data (d, 50000);
  agent_says (d, 50001, 11, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 0);
  bl_dispatch_free (d);
}

/* Two balancers that started together hold the same few records: that they
   agree proves nothing; a peer that knows all does.  Even then it asks once
   more before a flow is given up: an answer from before the flow's packet came
   proves nothing about agents since.  */
enum last_word
{
  WORD_AGREES,
  WORD_NONE, /* the other balancer is silent */
  WORD_NEW,  /* it tells of an agent, which owns the flow */
};

static const struct
{
  const char *name;
  bool knows; /* the other balancer says that it knows all agents */
  enum last_word word;
  uint64_t asked_ms; /* tick after the last word */
  unsigned resets;
} agreements[] = {
  { "knows not all", false, WORD_AGREES, 45, 0 },
  { "knows all and agrees", true, WORD_AGREES, 45, 1 },
  { "silent, for too short", true, WORD_NONE, 80, 0 },
  { "silent", true, WORD_NONE, 140, 1 },
  { "tells of an agent", true, WORD_NEW, 140, 0 },
};

static void
say_status (struct bl_dispatch *d, uint64_t now, bool knows)
{
  struct bl_buffer buffer = { .len = 0 };
  struct bl_msg msg = { .type = BL_MSG_STATUS, .affirmative = knows };

  bl_name_set (&msg.from, bl_str_of ("b20"));
  msg.digest = bl_store_digest (bl_dispatch_fleet (d)->store);
  assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
  bl_dispatch_message (d, now, (struct bl_addr){ 20, 2 }, buffer.ptr,
                       buffer.len);
  bl_buffer_free (&buffer);
}

static void
test_agreement (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof agreements / sizeof agreements[0]; i++)
    {
      struct seen seen = { .resets = 0 };
      struct bl_dispatch *d = one_balancer (&seen);
      learn_agent (d, 10, 11, "s");
      learn_peer (d, 20, BL_STATE_READY);
      say_status (d, 15, agreements[i].knows);
      send_data (d, 20);
      agent_says (d, 30, 11, BL_LINK_NOT_OWNED);
      assert_int_equal (seen.resets, 0);
      if (agreements[i].word == WORD_AGREES)
        say_status (d, 40, agreements[i].knows);
      if (agreements[i].word == WORD_NEW)
        learn_agent (d, 40, 12, "s");
      bl_dispatch_tick (d, agreements[i].asked_ms);
      printf ("%s: resets %u\n", agreements[i].name, seen.resets);
      assert_int_equal (seen.resets, agreements[i].resets);
      if (agreements[i].word == WORD_NEW)
        {
          assert_int_equal (seen.queries, 2);
          agent_says (d, 150, 12, BL_LINK_OWNED);
          assert_int_equal (seen.packets, 1);
        }
      bl_dispatch_free (d);
    }
}

/* Only what the asker lacks is sent, in few datagrams and not more often than
   the budget allows.  */
static const struct
{
  const char *name;
  size_t bytes;     /* of the digests in the question */
  unsigned differs; /* buckets that hold something else there */
  int err;
  unsigned least; /* datagrams in answer */
  unsigned most;
} pulls[] = {
  { "the same records", BL_STORE_BUCKETS * 4, 0, BL_OK, 0, 0 },
  { "one bucket differs", BL_STORE_BUCKETS * 4, 1, BL_OK, 1, 1 },
  { "all differ", BL_STORE_BUCKETS * 4, BL_STORE_BUCKETS, BL_OK, 5, 8 },
  { "digests of another length", BL_STORE_BUCKETS * 8, 0, BL_EFORMAT, 0, 0 },
  { "no digests", 0, 0, BL_EFORMAT, 0, 0 },
};

static int
pull_from (struct bl_dispatch *d, uint64_t now, size_t bytes, unsigned differs)
{
  const struct bl_store *store = bl_dispatch_fleet (d)->store;
  const uint64_t *digests = bl_store_bucket_digests (store);
  uint32_t shorts[BL_STORE_BUCKETS * 2] = { 0 };
  struct bl_buffer buffer = { .len = 0 };
  struct bl_msg msg = { .type = BL_MSG_PULL_RECORDS,
                        .buckets = { (const char *)shorts, bytes } };
  int err;

  for (size_t i = 0; i < BL_STORE_BUCKETS; i++)
    shorts[i] = (uint32_t)digests[i];
  for (size_t i = 0; i < BL_STORE_BUCKETS && differs > 0; i++)
    if (differs == BL_STORE_BUCKETS || digests[i] != 0)
      {
        shorts[i]++;
        differs -= differs < BL_STORE_BUCKETS ? 1 : 0;
      }
  bl_name_set (&msg.from, bl_str_of ("b20"));
  assert_int_equal (bl_msg_encode (&msg, &buffer), BL_OK);
  err = bl_dispatch_message (d, now, (struct bl_addr){ 20, 2 }, buffer.ptr,
                             buffer.len);
  bl_buffer_free (&buffer);
  return err;
}

static void
test_pulls (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof pulls / sizeof pulls[0]; i++)
    {
      struct seen seen = { .resets = 0 };
      struct bl_dispatch *d = one_balancer (&seen);
      for (uint32_t ip = 11; ip < 51; ip++)
        learn_agent (d, 10, ip, "s");
      assert_int_equal (pull_from (d, 20, pulls[i].bytes, pulls[i].differs),
                        pulls[i].err);
      printf ("%s: %u datagrams\n", pulls[i].name, seen.sent);
      assert_in_range (seen.sent, pulls[i].least, pulls[i].most);
      /* 41 records take 615 ms of the budget.  */
      seen.sent = 0;
      if (pulls[i].differs == BL_STORE_BUCKETS)
        {
          pull_from (d, 500, pulls[i].bytes, pulls[i].differs);
          assert_int_equal (seen.sent, 0);
          pull_from (d, 700, pulls[i].bytes, pulls[i].differs);
          assert_in_range (seen.sent, pulls[i].least, pulls[i].most);
        }
      bl_dispatch_free (d);
    }
}

/* -- agents that cannot tell -- */

#define ORDER_AGENTS 30
#define ORDER_FLOWS  50

/* Who was sent packets of flows.  */
struct offered
{
  struct seen seen; /* first, as the other calls take it */
  size_t count;
  uint32_t ips[ORDER_AGENTS];
};

static void
note_offer (void *ctx,
            struct bl_addr to,
            const struct bl_link_msg *link,
            const uint8_t *packet,
            size_t len)
{
  struct offered *o = ctx;

  (void)packet;
  (void)len;
  if (link->type == BL_LINK_PACKET && o->count < ORDER_AGENTS)
    o->ips[o->count++] = to.ip;
}

static struct bl_dispatch *
balancer_of_many (struct offered *offered)
{
  struct bl_dispatch_ops ops = step_ops;
  struct bl_dispatch_settings settings
      = { .self = { .kind = BL_KIND_BALANCER, .ip = 1 }, .random_seed = SEED };
  struct bl_dispatch *d;

  ops.send_to_agent = note_offer;
  bl_name_set (&settings.self.id, bl_str_of ("b"));
  bl_name_set (&settings.self.dc, bl_str_of ("dc"));
  d = bl_dispatch_new (&settings, &ops, offered);
  bl_dispatch_configure (d, 1, one_route (1, "s", NULL));
  for (uint32_t ip = 11; ip < 11 + ORDER_AGENTS; ip++)
    learn_agent (d, 10, ip, "s");
  return d;
}

/* All balancers and agents have started anew, knowing nothing.  A packet of an
   open flow is offered first to those that it can have been placed at.  */
static void
test_likely_owners_first (void **state)
{
  (void)state;
  for (uint16_t port = 1024; port < 1024 + ORDER_FLOWS; port++)
    {
      struct bl_flow_key key = { 1, step_key.dst_ip, port, step_key.dst_port };
      struct bl_packet first = { .key = key, .flags = BL_TCP_SYN };
      struct bl_packet later
          = { .key = key, .flags = BL_TCP_ACK, .payload_len = 10 };
      struct offered before = { .count = 0 };
      struct offered after = { .count = 0 };
      struct bl_dispatch *d = balancer_of_many (&before);
      bool among = false;
      bl_dispatch_packet (d, 20, &first, (const uint8_t *)&first, sizeof first);
      bl_dispatch_free (d);
      assert_int_equal (before.count, 1);
      d = balancer_of_many (&after);
      bl_dispatch_packet (d, 20, &later, (const uint8_t *)&later, sizeof later);
      for (uint32_t ip = 11; ip < 11 + ORDER_AGENTS; ip++)
        {
          struct bl_link_msg link
              = { .type = BL_LINK_INCOMPLETE, .key = key, .incarnation = 1 };
          bl_dispatch_link (d, 21, (struct bl_addr){ ip, 1 }, &link, NULL, NULL,
                            0);
        }
      assert_in_range (after.count, 1, ORDER_AGENTS / 2);
      for (size_t i = 0; i < after.count; i++)
        among = among || after.ips[i] == before.ips[0];
      assert_true (among);
      bl_dispatch_free (d);
    }
}

/* Once it knows all, the caller is told at once.  */
static void
test_denials_of_all (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "s");
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 400);
  send_data (d, 410);
  agent_says (d, 420, 11, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 0);
  agent_says (d, 420, 12, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 1);
  bl_dispatch_free (d);
}

/* A request of several packets reaches a balancer that does not know its flow:
   all of them wait for the owner.  */
static void
test_all_packets_wait (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  send_data (d, 20);
  send_data (d, 21);
  send_data (d, 22);
  assert_int_equal (seen.packets, 0);
  agent_says (d, 30, 11, BL_LINK_OWNED);
  assert_int_equal (seen.packets, 3);
  bl_dispatch_free (d);
}

/* The routers use all balancers of a data centre, dead ones too, while fewer
   than half are ready: a stopping one waits until they can do without it.  */
static void
test_leaves_in_turn (void **state)
{
  static const struct
  {
    const char *name;
    enum bl_instance_state peers[3]; /* left: none */
    bool may;
  } table[] = {
    { "alone", { BL_STATE_LEFT, BL_STATE_LEFT, BL_STATE_LEFT }, true },
    { "one ready", { BL_STATE_READY, BL_STATE_LEFT, BL_STATE_LEFT }, true },
    { "one of two ready",
      { BL_STATE_READY, BL_STATE_STARTING, BL_STATE_LEFT },
      false },
    { "two ready", { BL_STATE_READY, BL_STATE_READY, BL_STATE_LEFT }, true },
    { "one of three ready",
      { BL_STATE_READY, BL_STATE_DRAINING, BL_STATE_STARTING },
      false },
    { "none of two ready",
      { BL_STATE_STARTING, BL_STATE_DRAINING, BL_STATE_LEFT },
      true },
  };

  (void)state;
  for (size_t i = 0; i < sizeof table / sizeof table[0]; i++)
    {
      struct seen seen = { .resets = 0 };
      struct bl_dispatch *d = one_balancer (&seen);
      for (uint32_t p = 0; p < 3; p++)
        if (table[i].peers[p] != BL_STATE_LEFT)
          learn_peer (d, 20 + p, table[i].peers[p]);
      bl_dispatch_drain (d, 20);
      if (bl_dispatch_may_leave (d) != table[i].may)
        fail_msg ("%s", table[i].name);
      bl_dispatch_free (d);
    }
}

/* Another instance has taken over an address; the list of the store names both,
   in either order.  Only the younger is asked, and its word counts.  */
static void
test_address_taken_over (void **state)
{
  (void)state;
  for (int younger_first = 0; younger_first < 2; younger_first++)
    {
      struct seen seen = { .resets = 0 };
      struct bl_dispatch *d = one_balancer (&seen);
      for (int i = 0; i < 2; i++)
        {
          bool younger = (i == 0) == (younger_first == 1);
          struct bl_record r = {
            .kind = BL_KIND_BACKEND,
            .state = BL_STATE_READY,
            .ip = 11,
            .data_port = 1,
            .control_port = 2,
            .incarnation = younger ? 2 : 1,
            .seq = 1,
          };
          bl_name_set (&r.id, bl_str_of (younger ? "new" : "old"));
          bl_name_set (&r.dc, bl_str_of ("dc"));
          bl_name_set (&r.service, bl_str_of ("s"));
          bl_dispatch_apply_record (d, 10, &r);
        }
      bl_dispatch_list_complete (d, 10);
      bl_dispatch_tick (d, 400);
      send_data (d, 410);
      assert_int_equal (seen.queries, 1);
      agent_says (d, 420, 11, BL_LINK_NOT_OWNED);
      assert_int_equal (seen.resets, 1);
      bl_dispatch_free (d);
    }
}

/* An agent says that it stops and comes back; meanwhile it answers nothing, and
   its silence is not taken for a denial.  */
static void
test_agent_returns (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_STARTING,
    .ip = 12,
    .data_port = 1,
    .control_port = 2,
    .incarnation = 1,
    .seq = 2,
  };

  (void)state;
  bl_name_set (&r.id, bl_str_of ("a12"));
  bl_name_set (&r.dc, bl_str_of ("dc"));
  bl_name_set (&r.service, bl_str_of ("s"));
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "s");
  bl_dispatch_list_complete (d, 10);
  agent_says (d, 390, 12, BL_LINK_NOT_OWNED);
  bl_dispatch_apply_record (d, 400, &r);
  for (uint64_t now = 410; now < 3000; now += 200)
    {
      bl_dispatch_tick (d, now);
      send_data (d, now);
      agent_says (d, now + 10, 11, BL_LINK_NOT_OWNED);
    }
  assert_int_equal (seen.resets, 0);
  bl_dispatch_free (d);
}

/* A flow lives at a service that its route no longer leads to.  */
static void
test_former_service (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);

  (void)state;
  learn_agent (d, 10, 11, "s");
  learn_agent (d, 10, 12, "t");
  bl_dispatch_list_complete (d, 10);
  bl_dispatch_tick (d, 400);
  send_data (d, 410);
  agent_says (d, 420, 11, BL_LINK_NOT_OWNED);
  assert_int_equal (seen.resets, 0);
  agent_says (d, 430, 12, BL_LINK_OWNED);
  assert_int_equal (seen.packets, 1);
  bl_dispatch_free (d);
}

/* The owner of a flow falls silent.  While the others answer, it is gone; when
   they are silent too, this balancer is cut off, and judges nobody.  */
static void
test_silence (void **state)
{
  (void)state;
  for (int others_answer = 0; others_answer < 2; others_answer++)
    {
      struct seen seen = { .resets = 0 };
      struct bl_dispatch *d = one_balancer (&seen);
      for (uint32_t ip = 11; ip < 15; ip++)
        learn_agent (d, 10, ip, "s");
      bl_dispatch_list_complete (d, 10);
      send_data (d, 20);
      agent_says (d, 30, 11, BL_LINK_OWNED);
      for (uint64_t now = 100; now < 4000; now += 50)
        {
          for (uint32_t ip = 12; ip < 15 && others_answer; ip++)
            agent_says (d, now, ip, BL_LINK_NOT_OWNED);
          bl_dispatch_tick (d, now);
        }
      assert_int_equal (seen.resets, (unsigned)others_answer);
      bl_dispatch_free (d);
    }
}

/* First packets from ever new ports fill a table of bounded size.  */
static void
test_flood_of_ports (void **state)
{
  struct seen seen = { .resets = 0 };
  struct bl_dispatch *d = one_balancer (&seen);
  struct bl_packet p = { .key = step_key, .flags = BL_TCP_SYN };

  (void)state;
  learn_agent (d, 10, 11, "s");
  for (uint32_t i = 0; i < 70000; i++)
    {
      p.key.src_ip = i;
      bl_dispatch_packet (d, 20, &p, (const uint8_t *)&p, sizeof p);
    }
  assert_int_equal (bl_dispatch_flow_count (d), 65536);
  assert_int_equal (bl_dispatch_counter (d, BL_DISPATCH_NO_ROOM),
                    70000 - 65536);
  bl_dispatch_free (d);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_flood_of_ports),
    cmocka_unit_test (test_former_service),
    cmocka_unit_test (test_silence),
    cmocka_unit_test (test_agent_returns),
    cmocka_unit_test (test_address_taken_over),
    cmocka_unit_test (test_leaves_in_turn),
    cmocka_unit_test (test_all_packets_wait),
    cmocka_unit_test (test_port_used_again_meanwhile),
    cmocka_unit_test (test_denials_of_a_part),
    cmocka_unit_test (test_routes_change_meanwhile),
    cmocka_unit_test (test_denials_before_first_tick),
    cmocka_unit_test (test_agreement),
    cmocka_unit_test (test_pulls),
    cmocka_unit_test (test_likely_owners_first),
    cmocka_unit_test (test_denials_of_all),
    cmocka_unit_test (test_faults),
    cmocka_unit_test (test_many_uninformed),
    cmocka_unit_test (test_nothing_shed_after_power_loss),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
