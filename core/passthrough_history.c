/* passthrough_history.c -- whether a pass-through agent's flow table accounts
   for all flows that its backend server holds

   An agent may deny a flow only if its own table, and the one that it took over
   from the process before, cover all the time since its server started.  What
   shows that is a typed value: the evidence.  Without evidence the table is
   incomplete, and the agent answers that it cannot tell.

   Evidence is the start of the server, if no process of this agent can have run
   between it and the start of this one; the flow table of the process before;
   or the idle time of the routes, after which every live flow has had a packet.
 */

#include "core/passthrough_inner.h"

#include <stdlib.h>

/* The flow table counts as incomplete for the idle time and this long after the
   start: by then every live flow has sent a packet.  */
#define INCOMPLETE_MARGIN_MS 2000
/* A process accepts flows without a record in the store only after this long.
   So a later one can rely on the record if less time than that has passed since
   the process that it is of, or since the start of the server.  */
#define RECORD_WAIT_MS 1500

static const char *const evidence_names[] = {
  [BL_EVIDENCE_NONE] = "none",
  [BL_EVIDENCE_NO_SERVER] = "no_server",
  [BL_EVIDENCE_START_SEEN] = "server_start_seen",
  [BL_EVIDENCE_RECORD] = "record_of_other_server",
  [BL_EVIDENCE_TABLE] = "table_taken_over",
  [BL_EVIDENCE_IDLE_TIME] = "idle_time",
};

/* Returns true if the store's record of the process before names another
   server, or there is none.  A record that names no server is of a process that
   had not heard from its server yet, which may be this one.  */
static bool
record_names_other_server (const struct bl_passthrough *pass)
{
  if (pass->previous == BL_PREVIOUS_NONE)
    return true;
  return pass->previous == BL_PREVIOUS_SERVED
         && pass->previous_backend_start != pass->backend_start;
}

/* Returns the time for which this process has run.  A message may arrive before
   the first tick.  */
static uint64_t
running_ms (const struct bl_passthrough *pass)
{
  return pass->started_ms != 0 ? pass->now - pass->started_ms : 0;
}

/* Returns for how much longer flows may be missing that are older than this
   process, without any other evidence.  In milliseconds; 0: none are.  */
static uint64_t
missing_ms (const struct bl_passthrough *pass)
{
  uint64_t total_ms = pass->idle_ms + INCOMPLETE_MARGIN_MS;

  return running_ms (pass) < total_ms ? total_ms - running_ms (pass) : 0;
}

static enum bl_evidence
find_evidence (const struct bl_passthrough *pass)
{
  if (pass->self.state >= BL_STATE_LEFT || pass->backend_left)
    return BL_EVIDENCE_NO_SERVER;
  if (pass->backend_start_seen)
    return BL_EVIDENCE_START_SEEN;
  if (pass->started_with_backend && record_names_other_server (pass))
    return BL_EVIDENCE_RECORD;
  if (pass->taken_over)
    return BL_EVIDENCE_TABLE;
  return missing_ms (pass) == 0 ? BL_EVIDENCE_IDLE_TIME : BL_EVIDENCE_NONE;
}

enum bl_evidence
bl_passthrough_evidence (struct bl_passthrough *pass)
{
  enum bl_evidence evidence = find_evidence (pass);

  if (evidence != pass->logged_evidence)
    pass->ops.log_decision (pass->ctx, "flow_table", evidence_names[evidence],
                            NULL, running_ms (pass));
  pass->logged_evidence = evidence;
  return evidence;
}

/* Returns true if the backend server, by the first heartbeat received from it,
   started not more than SLACK_MS before this process.  The clock may have been
   set between the two starts, so the heartbeat's sequence number must agree: a
   server that has sent many heartbeats is older.  */
static bool
is_younger (const struct bl_passthrough *pass,
            const struct bl_heartbeat *heartbeat,
            uint64_t slack_ms)
{
  uint64_t sent_in_ms = heartbeat->seq > 1
                            ? (heartbeat->seq - 1) * pass->settings.heartbeat_ms
                            : 0;

  return heartbeat->backend_start + slack_ms > pass->settings.self.incarnation
         && sent_in_ms <= running_ms (pass) + slack_ms
                              + pass->settings.heartbeat_ms / 2;
}

void
bl_passthrough_note_start_of_backend (struct bl_passthrough *pass,
                                      const struct bl_heartbeat *heartbeat)
{
  if (is_younger (pass, heartbeat, 0))
    pass->backend_start_seen = true;
  pass->started_with_backend = is_younger (pass, heartbeat, RECORD_WAIT_MS);
}

void
bl_passthrough_note_previous (struct bl_passthrough *pass,
                              const struct bl_record *record)
{
  if (record == NULL)
    {
      pass->previous = BL_PREVIOUS_NONE;
      return;
    }
  pass->previous
      = record->backend_start != 0 ? BL_PREVIOUS_SERVED : BL_PREVIOUS_UNCLEAR;
  pass->previous_backend_start = record->backend_start;
}

/* -- the own record -- */

/* Returns true if the next process of this agent will find a record of this one
   that does not rule out flows of the server.  Without the store that takes as
   long as a server may be older than a process that relies on the record: by
   then this one cannot be overlooked.  */
static bool
is_recorded (const struct bl_passthrough *pass)
{
  if (!pass->settings.has_store)
    return true;
  /* A heartbeat may arrive before the first tick.  */
  if (pass->started_ms == 0)
    return false;
  return pass->recorded_seq >= pass->needed_seq
         || pass->now - pass->unrecorded_since_ms >= RECORD_WAIT_MS;
}

void
bl_passthrough_require_record (struct bl_passthrough *pass)
{
  pass->needed_seq = pass->self.seq + 1;
  pass->unrecorded_since_ms = pass->now;
}

enum bl_instance_state
bl_passthrough_allowed_state (struct bl_passthrough *pass,
                              enum bl_instance_state state)
{
  pass->ready_withheld = state == BL_STATE_READY && !is_recorded (pass);
  return pass->ready_withheld ? BL_STATE_STARTING : state;
}

void
bl_passthrough_release_ready (struct bl_passthrough *pass)
{
  if (!pass->ready_withheld || pass->stopping
      || pass->self.state != BL_STATE_STARTING || !is_recorded (pass))
    return;
  pass->ready_withheld = false;
  bl_passthrough_set_state (pass, BL_STATE_READY, "recorded");
}

void
bl_passthrough_note_recorded (struct bl_passthrough *pass,
                              uint64_t now,
                              uint32_t seq)
{
  pass->now = now;
  if (seq > pass->recorded_seq)
    pass->recorded_seq = seq;
  bl_passthrough_release_ready (pass);
}

/* -- processes before this one -- */

void
bl_passthrough_note_process_between (struct bl_passthrough *pass,
                                     uint64_t incarnation)
{
  if (!pass->taken_over || incarnation <= pass->taken_over_from
      || incarnation == pass->self.incarnation)
    return;
  pass->taken_over = false;
  pass->ops.log_decision (pass->ctx, "handover_void", "process_between", NULL,
                          pass->now - pass->started_ms);
}

int
bl_passthrough_hand_over (struct bl_passthrough *pass,
                          uint64_t now,
                          struct bl_handover *out)
{
  size_t count = HASH_COUNT (pass->flows);
  struct bl_passthrough_flow *f;
  struct bl_passthrough_flow *next;

  pass->now = now;
  *out = (struct bl_handover){ .incarnation = pass->self.incarnation,
                               .stopped_ms = now };
  if (bl_passthrough_has_no_backend (pass))
    return BL_ENOTFOUND;
  if (count > BL_HANDOVER_FLOWS_MAX)
    return BL_ERANGE;
  if (bl_passthrough_evidence (pass) == BL_EVIDENCE_NONE)
    out->incomplete_ms = missing_ms (pass);
  out->flows = calloc (count + 1, sizeof *out->flows);
  if (out->flows == NULL)
    return BL_ENOMEM;
  HASH_ITER (hh, pass->flows, f, next)
  out->flows[out->count++] = (struct bl_handover_flow){
    .key = f->key,
    .first_seq = f->first_seq,
    .next_seq = f->next_seq,
    .next_seq_known = f->next_seq_known,
    .established = f->established,
    .closed = f->closed,
  };
  return BL_OK;
}

/* Adds a flow of an earlier process, unless its packets told this one more.  */
static void
take_over_flow (struct bl_passthrough *pass,
                const struct bl_handover_flow *flow)
{
  struct bl_passthrough_flow *f = bl_passthrough_find_flow (pass, &flow->key);

  if (f != NULL && f->next_seq_known)
    return;
  f = bl_passthrough_get_flow (pass, &flow->key);
  if (f == NULL)
    return;
  f->first_seq = flow->first_seq;
  f->next_seq = flow->next_seq;
  f->next_seq_known = flow->next_seq_known;
  f->established = f->established || flow->established;
  f->closed = f->closed || flow->closed;
  f->handed_over = true;
}

/* Returns true if no process can have accepted flows between the stop of the
   writer of HANDOVER and the start of this one: one whose record did not reach
   the store would have had to run for RECORD_WAIT_MS first.  After a restart of
   the machine its steady clock may be behind.  */
static bool
follows_at_once (const struct bl_passthrough *pass,
                 const struct bl_handover *handover)
{
  uint64_t start = pass->started_ms != 0 ? pass->started_ms : pass->now;

  return handover->stopped_ms != 0 && start >= handover->stopped_ms
         && start - handover->stopped_ms < RECORD_WAIT_MS;
}

bool
bl_passthrough_take_over (struct bl_passthrough *pass,
                          uint64_t now,
                          const struct bl_handover *handover,
                          uint64_t previous,
                          uint64_t store_era)
{
  bool is_last = handover->incarnation != 0 && handover->incarnation == previous
                 && handover->store_era == store_era;
  bool complete;

  pass->now = now;
  complete = is_last && handover->incomplete_ms == 0
             && follows_at_once (pass, handover);
  pass->ops.log_decision (pass->ctx,
                          is_last ? "taken_over" : "handover_ignored",
                          handover->store_era != store_era ? "other_era"
                          : complete                       ? "last_process"
                          : !is_last                       ? "other_process"
                          : handover->incomplete_ms > 0    ? "incomplete"
                                                           : "late",
                          NULL, handover->incomplete_ms);
  if (!is_last)
    return false;
  for (size_t i = 0; i < handover->count; i++)
    take_over_flow (pass, &handover->flows[i]);
  if (!complete)
    return false;
  pass->taken_over = true;
  pass->taken_over_from = handover->incarnation;
  return true;
}
