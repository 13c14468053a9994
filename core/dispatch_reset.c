/* dispatch_reset.c -- resets of callers' connections

   All resets are made here, and each states its evidence.  A reset of a flow
   whose backend server holds it loses the caller's requests, while silence
   costs a retransmission, so evidence counts only for the flows that it is
   about: what an owner announced, or its silence, counts for flows that it has
   claimed; denials count at the end of a lookup; and a refusal of new flows
   counts for flows that have not opened.  docs/design/resets.md tells how old
   the evidence may be and who can contradict it.  */

#include "core/dispatch_inner.h"

/* The flows that evidence is about.  */
enum scope
{
  SCOPE_CLAIMED,  /* open, and claimed by the instance of the evidence */
  SCOPE_LOOKUP,   /* their owner is looked up */
  SCOPE_OPENING,  /* not open yet */
  SCOPE_ANY_FLOW, /* all that are tracked */
  SCOPE_UNTRACKED,
};

static const struct
{
  const char *name; /* in the log */
  enum scope scope;
  enum bl_dispatch_counter counter;
} kinds[] = {
  [BL_EVIDENCE_SERVER_GONE]
  = { "backend_gone", SCOPE_CLAIMED, BL_DISPATCH_LOST },
  [BL_EVIDENCE_SERVER_SILENT]
  = { "backend_silent", SCOPE_CLAIMED, BL_DISPATCH_LOST },
  [BL_EVIDENCE_DENIALS] = { "denied_by_all", SCOPE_LOOKUP, BL_DISPATCH_LOST },
  [BL_EVIDENCE_ROUTE_DROPPED]
  = { "route_dropped", SCOPE_ANY_FLOW, BL_DISPATCH_REFUSED },
  [BL_EVIDENCE_NO_ROUTE] = { "no_route", SCOPE_UNTRACKED, 0 },
  [BL_EVIDENCE_ALL_REFUSED]
  = { "all_refused", SCOPE_OPENING, BL_DISPATCH_REFUSED },
  [BL_EVIDENCE_NO_SERVER]
  = { "no_backend", SCOPE_OPENING, BL_DISPATCH_REFUSED },
  [BL_EVIDENCE_LINK_FULL] = { "link_full", SCOPE_OPENING, BL_DISPATCH_REFUSED },
};

const char *
bl_evidence_name (enum bl_evidence_kind kind)
{
  return kinds[kind].name;
}

static bool
is_about (const struct bl_reset_evidence *evidence,
          const struct bl_tracked_flow *f)
{
  switch (kinds[evidence->kind].scope)
    {
    case SCOPE_CLAIMED:
      return f->phase == BL_PHASE_OPEN && !f->owner_presumed
             && f->owner == evidence->instance;
    case SCOPE_LOOKUP:
      return f->phase == BL_PHASE_OWNER_LOOKUP && !f->lookup.paused;
    case SCOPE_OPENING:
      return f->phase == BL_PHASE_OPENING;
    case SCOPE_ANY_FLOW:
      return true;
    default:
      return false;
    }
}

static void
log_reset (struct bl_dispatch *d,
           const char *event_name,
           const struct bl_flow_key *key,
           const struct bl_reset_evidence *evidence)
{
  uint64_t age_ms = evidence->since_ms != 0 ? d->now - evidence->since_ms : 0;

  bl_dispatch_log_decision (d, event_name, kinds[evidence->kind].name, key,
                            evidence->instance, age_ms);
}

bool
bl_dispatch_reset_flow (struct bl_dispatch *d,
                        struct bl_tracked_flow *f,
                        const struct bl_reset_evidence *evidence)
{
  if (!is_about (evidence, f))
    {
      log_reset (d, "reset_withheld", &f->key, evidence);
      return false;
    }
  d->counters[kinds[evidence->kind].counter]++;
  log_reset (d, "reset", &f->key, evidence);
  d->ops.reset (d->ctx, &f->key, f->last_ack);
  bl_tracked_flow_remove (d, f);
  return true;
}

void
bl_dispatch_reset_untracked (struct bl_dispatch *d, const struct bl_packet *p)
{
  const struct bl_reset_evidence evidence = { .kind = BL_EVIDENCE_NO_ROUTE };

  log_reset (d, "reset", &p->key, &evidence);
  d->ops.reset (d->ctx, &p->key, p->ack);
}
