/* test_reset.c -- evidence for resets: it counts only for flows that it is
 * about  */

#include "core/dispatch_inner.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

struct observed
{
  unsigned resets;
  unsigned withheld;
};

static void
ignore_to_agent (void *ctx,
                 struct bl_addr to,
                 const struct bl_link_msg *link,
                 const uint8_t *packet,
                 size_t len)
{
  (void)ctx, (void)to, (void)link, (void)packet, (void)len;
}

static void
count_reset (void *ctx, const struct bl_flow_key *key, uint32_t seq)
{
  (void)key, (void)seq;
  ((struct observed *)ctx)->resets++;
}

static void
ignore_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx, (void)to, (void)buf, (void)len;
}

static void
ignore_pull (void *ctx, const struct bl_instance *peer)
{
  (void)ctx, (void)peer;
}

static void
count_withheld (void *ctx, const struct bl_decision *decision)
{
  if (strcmp (decision->event_name, "reset_withheld") == 0)
    ((struct observed *)ctx)->withheld++;
}

static const struct bl_dispatch_ops ops = {
  .send_to_agent = ignore_to_agent,
  .reset = count_reset,
  .send = ignore_send,
  .pull = ignore_pull,
  .log_decision = count_withheld,
};

/* The state of the flow.  */
enum flow_state
{
  OPENING,
  CLAIMED,  /* open; its owner has claimed it */
  PRESUMED, /* open; its owner is presumed by elimination */
  LOOKUP,
  PAUSED, /* a lookup ended without result */
};

static const struct
{
  enum bl_evidence_kind kind;
  enum flow_state state;
  bool other_instance; /* the evidence is about another one than the owner */
  bool reset;
} cases[] = {
  { BL_EVIDENCE_SERVER_GONE, CLAIMED, false, true },
  { BL_EVIDENCE_SERVER_GONE, CLAIMED, true, false },
  { BL_EVIDENCE_SERVER_GONE, PRESUMED, false, false },
  { BL_EVIDENCE_SERVER_GONE, OPENING, false, false },
  { BL_EVIDENCE_SERVER_GONE, LOOKUP, false, false },
  { BL_EVIDENCE_SERVER_SILENT, CLAIMED, false, true },
  { BL_EVIDENCE_SERVER_SILENT, CLAIMED, true, false },
  { BL_EVIDENCE_SERVER_SILENT, PRESUMED, false, false },
  { BL_EVIDENCE_SERVER_SILENT, LOOKUP, false, false },
  { BL_EVIDENCE_DENIALS, LOOKUP, false, true },
  { BL_EVIDENCE_DENIALS, PAUSED, false, false },
  { BL_EVIDENCE_DENIALS, CLAIMED, false, false },
  { BL_EVIDENCE_DENIALS, OPENING, false, false },
  { BL_EVIDENCE_ALL_REFUSED, OPENING, false, true },
  { BL_EVIDENCE_ALL_REFUSED, CLAIMED, false, false },
  { BL_EVIDENCE_NO_SERVER, OPENING, false, true },
  { BL_EVIDENCE_NO_SERVER, LOOKUP, false, false },
  { BL_EVIDENCE_LINK_FULL, OPENING, false, true },
  { BL_EVIDENCE_LINK_FULL, CLAIMED, false, false },
  { BL_EVIDENCE_ROUTE_DROPPED, CLAIMED, false, true },
  { BL_EVIDENCE_ROUTE_DROPPED, LOOKUP, false, true },
  { BL_EVIDENCE_NO_ROUTE, CLAIMED, false, false },
};

static struct bl_instance *
add_agent (struct bl_dispatch *d, uint32_t ip)
{
  struct bl_record r = {
    .kind = BL_KIND_BACKEND,
    .state = BL_STATE_READY,
    .ip = ip,
    .data_port = 1,
    .control_port = 2,
    .incarnation = 1,
    .seq = 1,
  };
  char name[16];

  snprintf (name, sizeof name, "a%u", ip);
  bl_name_set (&r.id, bl_str_of (name));
  bl_name_set (&r.service, bl_str_of ("s"));
  bl_dispatch_apply_record (d, 10, &r);
  return bl_fleet_find (&d->fleet, &r.id);
}

static void
set_state (struct bl_dispatch *d,
           struct bl_tracked_flow *f,
           enum flow_state state,
           struct bl_instance *owner)
{
  f->phase = BL_PHASE_OPENING;
  if (state == CLAIMED || state == PRESUMED)
    bl_tracked_flow_set_owner (d, f, owner, 0);
  f->owner_presumed = state == PRESUMED;
  if (state == LOOKUP || state == PAUSED)
    f->phase = BL_PHASE_OWNER_LOOKUP;
  f->lookup.paused = state == PAUSED;
}

static void
test_evidence_is_about_flow (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct bl_flow_key key = { 1, 2, 1024, 443 };
      struct bl_dispatch_settings settings
          = { .self = { .kind = BL_KIND_BALANCER, .ip = 1 } };
      struct observed observed = { .resets = 0 };
      struct bl_dispatch *d = bl_dispatch_new (&settings, &ops, &observed);
      struct bl_instance *owner = add_agent (d, 11);
      struct bl_instance *other = add_agent (d, 12);
      struct bl_tracked_flow *f = bl_tracked_flow_add (d, &key);
      struct bl_reset_evidence evidence = {
        .kind = cases[i].kind,
        .instance = cases[i].other_instance ? other : owner,
      };
      set_state (d, f, cases[i].state, owner);
      if (bl_dispatch_reset_flow (d, f, &evidence) != cases[i].reset)
        fail_msg ("%s in state %d", bl_evidence_name (cases[i].kind),
                  (int)cases[i].state);
      assert_int_equal (observed.resets, cases[i].reset ? 1 : 0);
      assert_int_equal (observed.withheld, cases[i].reset ? 0 : 1);
      assert_int_equal (bl_dispatch_flow_count (d), cases[i].reset ? 0 : 1);
      bl_dispatch_free (d);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_evidence_is_about_flow),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
