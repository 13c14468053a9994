/* passthrough_backend.c -- state of a pass-through agent's backend server

   Heartbeats carry the server's identity and whether it drains.  They are
   ordered by the server's start time and a sequence number, so that a late
   heartbeat changes nothing.  A server that leaves packets unanswered, returns
   a first packet or a packet of an established flow, or misses heartbeats is
   checked by a connection attempt.  Only a refused connection proves that the
   server is gone.  */

#include "core/passthrough_inner.h"

#define ANSWER_TIMEOUT_MS       150 /* without an answer until a check */
#define CHECK_INTERVAL_MS       250 /* between two checks */
#define START_CHECK_INTERVAL_MS 100 /* the same while it is STARTING */
#define START_CHECKS_MAX        20  /* checks made while it is STARTING */
#define MISSED_HEARTBEATS       3   /* missed heartbeats until a check */
/* A server whose start is later than this is not of this machine.  */
#define CLOCK_STEP_MAX_MS (24 * 3600 * 1000ull)

/* Handles the replacement of the server by another process, which holds none of
   the open flows.  */
static void
replace_backend (struct bl_passthrough *pass,
                 const struct bl_heartbeat *heartbeat)
{
  bl_passthrough_remove_flows (pass);
  pass->backend = heartbeat->id;
  pass->backend_start = heartbeat->backend_start;
  pass->heartbeat_seq = 0;
  pass->unanswered_since_ms = 0;
  pass->backend_left = false;
  bl_passthrough_note_start_of_backend (pass, heartbeat);
  bl_passthrough_require_record (pass);
}

static bool
is_same_backend (const struct bl_passthrough *pass,
                 const struct bl_heartbeat *heartbeat)
{
  return bl_name_equal (&pass->backend, &heartbeat->id)
         && pass->backend_start == heartbeat->backend_start;
}

/* Returns true if heartbeats that are behind the last one taken continue at
   their interval, and none was taken in between.  Late heartbeats that a
   network failure delayed arrive in one burst instead.  */
static bool
continues_behind (struct bl_passthrough *pass,
                  const struct bl_heartbeat *heartbeat)
{
  bool consecutive
      = heartbeat->backend_start == pass->behind_start
        && heartbeat->seq > pass->behind_seq
        && pass->now - pass->behind_ms >= pass->settings.heartbeat_ms / 2;

  pass->behind_start = heartbeat->backend_start;
  pass->behind_seq = heartbeat->seq;
  pass->behind_ms = pass->now;
  return consecutive;
}

/* Returns true if heartbeats with an earlier start time continue while those of
   the known start have stopped: the clock was set back between the two
   starts.  */
static bool
clock_was_set_back (struct bl_passthrough *pass,
                    const struct bl_heartbeat *heartbeat)
{
  bool continues = continues_behind (pass, heartbeat);
  bool current_ended = pass->now - pass->last_heartbeat_ms
                       > MISSED_HEARTBEATS * pass->settings.heartbeat_ms;

  return continues && current_ended;
}

/* If heartbeats of the known start continue with lower numbers, the number that
   was taken is not the server's.  */
static bool
is_stale (struct bl_passthrough *pass, const struct bl_heartbeat *heartbeat)
{
  /* Before the first heartbeat, the record of an earlier process may name a
     later start of the server.  */
  uint64_t known = pass->backend.len == 0 ? pass->previous_backend_start
                                          : pass->backend_start;

  if (heartbeat->backend_start < known)
    return !clock_was_set_back (pass, heartbeat);
  return is_same_backend (pass, heartbeat)
         && heartbeat->seq < pass->heartbeat_seq
         && !continues_behind (pass, heartbeat);
}

/* Returns why HEARTBEAT cannot be of this agent's backend server, or NULL.  Its
   start is by the clock of this machine, which may have been set since.  */
static const char *
find_foreign (const struct bl_passthrough *pass,
              const struct bl_heartbeat *heartbeat)
{
  uint64_t latest_ms = pass->settings.self.incarnation + CLOCK_STEP_MAX_MS;

  if (pass->started_ms != 0)
    latest_ms += pass->now - pass->started_ms;
  if (!bl_name_equal (&heartbeat->service, &pass->self.service))
    return "other_service";
  if (pass->settings.backend.port != 0
      && !bl_addr_equal (heartbeat->address, pass->settings.backend))
    return "other_address";
  if (heartbeat->backend_start > latest_ms)
    return "impossible_start";
  if (heartbeat->backend_start == pass->backend_start
      && !bl_name_equal (&pass->backend, &heartbeat->id))
    return "other_id";
  return NULL;
}

int
bl_passthrough_heartbeat (struct bl_passthrough *pass,
                          uint64_t now,
                          const struct bl_heartbeat *heartbeat)
{
  enum bl_instance_state state;
  bool first = pass->backend.len == 0;
  const char *foreign;
  bool same;

  pass->now = now;
  foreign = find_foreign (pass, heartbeat);
  if (foreign != NULL)
    {
      pass->counters[BL_PASSTHROUGH_IGNORED_HEARTBEATS]++;
      pass->ops.log_decision (pass->ctx, "heartbeat_ignored", foreign, NULL, 0);
      return BL_EFORMAT;
    }
  if (is_stale (pass, heartbeat))
    {
      pass->counters[BL_PASSTHROUGH_IGNORED_HEARTBEATS]++;
      pass->ops.log_decision (pass->ctx, "heartbeat_ignored", "late", NULL, 0);
      return BL_ESTALE;
    }
  same = is_same_backend (pass, heartbeat);
  /* A copy of the last one, whose answer was lost.  */
  if (same && heartbeat->seq == pass->heartbeat_seq)
    return BL_OK;
  if (!same && !first)
    replace_backend (pass, heartbeat);
  if (first)
    {
      pass->backend = heartbeat->id;
      pass->backend_start = heartbeat->backend_start;
      bl_passthrough_note_start_of_backend (pass, heartbeat);
      if (pass->backend_start_seen)
        pass->unrecorded_since_ms = now;
    }
  pass->counters[BL_PASSTHROUGH_HEARTBEATS]++;
  pass->heartbeat_seq = heartbeat->seq;
  pass->last_heartbeat_ms = now;
  pass->behind_start = 0;
  state = bl_passthrough_allowed_state (
      pass, heartbeat->draining ? BL_STATE_DRAINING : BL_STATE_READY);
  /* A stopping agent keeps the state that it announced.  */
  if (pass->stopping
      || (same && state == pass->self.state
          && heartbeat->slots == pass->self.slots))
    return BL_OK;
  pass->self.slots = heartbeat->slots;
  pass->self.state = state;
  bl_passthrough_announce (pass, same ? "heartbeat" : "heartbeat_of_new_start");
  return BL_OK;
}

int
bl_passthrough_leave (struct bl_passthrough *pass,
                      uint64_t now,
                      const struct bl_name *id)
{
  pass->now = now;
  if (!bl_name_equal (&pass->backend, id))
    return BL_ENOTFOUND;
  pass->backend_left = true;
  bl_passthrough_set_state (pass, BL_STATE_LEFT, "backend_left");
  return BL_OK;
}

void
bl_passthrough_check_result (struct bl_passthrough *pass,
                             uint64_t now,
                             bool alive)
{
  pass->now = now;
  if (alive)
    {
      if (pass->self.state == BL_STATE_STARTING && !pass->stopping
          && bl_passthrough_allowed_state (pass, BL_STATE_READY)
                 == BL_STATE_READY)
        bl_passthrough_set_state (pass, BL_STATE_READY, "connection_accepted");
      return;
    }
  /* No backend server runs, so this agent holds no flows, and will see the
     start of the next backend server.  */
  pass->backend_start_seen = true;
  if (pass->stopping)
    return;
  if (pass->self.state == BL_STATE_STARTING)
    bl_passthrough_set_state (pass, BL_STATE_DEAD, "no_backend");
  if (pass->self.state >= BL_STATE_LEFT)
    return;
  bl_passthrough_remove_flows (pass);
  pass->unanswered_since_ms = 0;
  bl_passthrough_set_state (pass, BL_STATE_DEAD, "connection_turned_down");
}

void
bl_passthrough_check_backend (struct bl_passthrough *pass)
{
  bool starting = pass->self.state == BL_STATE_STARTING;
  bool silent = pass->unanswered_since_ms != 0
                && pass->now - pass->unanswered_since_ms > ANSWER_TIMEOUT_MS;
  bool missed = pass->last_heartbeat_ms != 0
                && pass->now - pass->last_heartbeat_ms
                       > MISSED_HEARTBEATS * pass->settings.heartbeat_ms;

  if (pass->stopping || pass->self.state >= BL_STATE_LEFT || pass->backend_left)
    return;
  if (starting && pass->start_checks < START_CHECKS_MAX
      && pass->now - pass->last_check_ms >= START_CHECK_INTERVAL_MS)
    {
      pass->start_checks++;
      pass->last_check_ms = pass->now;
      pass->ops.check (pass->ctx);
    }
  else if (!starting && (silent || missed || pass->check_requested)
           && pass->now - pass->last_check_ms >= CHECK_INTERVAL_MS)
    {
      pass->last_check_ms = pass->now;
      pass->check_requested = false;
      pass->ops.check (pass->ctx);
    }
}
