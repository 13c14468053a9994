/* pass_backend.c -- what an agent believes of its backend server

   Heartbeats tell who it is and whether it drains; they are ordered by its
   start and a count, so a late one changes nothing.  A server that leaves
   packets unanswered, returns what it should have taken, or misses heartbeats,
   is checked by a connection attempt: only one that is turned down proves that
   it is gone.  */

#include "core/pass_inner.h"

#define QUIET_MS       150  /* without an answer until a check */
#define CHECK_MS       250  /* between two checks */
#define START_CHECK_MS 100  /* the same while it is not known to be there */
#define START_CHECKS   20   /* checks made then, at most */
#define MISSED_BEATS   3    /* heartbeats missed until a check */
#define TOGETHER_MS    1500 /* between two starts after a loss of power */

/* Another process than before: it holds nothing of what was open.  */
static void
replace_backend (struct bl_pass *p, const struct bl_heartbeat *beat)
{
  bl_pass_forget_all (p);
  p->backend = beat->id;
  p->born = beat->born;
  p->beat_seq = 0;
  p->unanswered_ms = 0;
  p->left = false;
  p->watched = true;
}

static bool
is_same_backend (const struct bl_pass *p, const struct bl_heartbeat *beat)
{
  if (!bl_name_equal (&p->backend, &beat->id))
    return false;
  return p->born == 0 || beat->born == 0 || p->born == beat->born;
}

/* Whether heartbeats that name an earlier start go on while those of the known
   one have ended: the clock was set back between the two starts.  Late ones
   that a cut held up come at once.  */
static bool
goes_on (struct bl_pass *p, const struct bl_heartbeat *beat)
{
  bool follows = beat->born == p->early_born && beat->seq > p->early_seq
                 && p->now - p->early_ms >= p->settings.heartbeat_ms / 2;
  bool alone = p->now - p->beat_ms > MISSED_BEATS * p->settings.heartbeat_ms;

  p->early_born = beat->born;
  p->early_seq = beat->seq;
  p->early_ms = p->now;
  return follows && alone;
}

static bool
is_late (struct bl_pass *p, const struct bl_heartbeat *beat)
{
  if (p->backend.len == 0)
    return false;
  if (beat->born != 0 && beat->born < p->born)
    return !goes_on (p, beat);
  return is_same_backend (p, beat) && beat->seq <= p->beat_seq
         && beat->seq != 0;
}

/* Whether a backend server, by its first heartbeat that comes here, started
   when this process did.  The time of day may have jumped between the two, so
   the count of its heartbeats must agree: one that has sent many is older.  */
static bool
started_together (const struct bl_pass *p, const struct bl_heartbeat *beat)
{
  int64_t apart = (int64_t)(beat->born - p->settings.self.incarnation);
  uint64_t running = p->started_ms != 0 ? p->now - p->started_ms : 0;
  uint64_t sent_in
      = beat->seq > 1 ? (beat->seq - 1) * p->settings.heartbeat_ms : 0;

  return beat->born != 0 && apart < TOGETHER_MS && apart > -TOGETHER_MS
         && sent_in <= running + TOGETHER_MS;
}

int
bl_pass_heartbeat (struct bl_pass *pass,
                   uint64_t now,
                   const struct bl_heartbeat *beat)
{
  enum bl_instance_state state
      = beat->draining ? BL_STATE_DRAINING : BL_STATE_READY;
  bool first = pass->backend.len == 0;
  bool same;

  pass->now = now;
  if (!bl_name_equal (&beat->service, &pass->self.service))
    {
      pass->counters[BL_PASS_BAD_HEARTBEATS]++;
      pass->ops.decided (pass->ctx, "heartbeat_ignored", "other_service", NULL,
                         0);
      return BL_EFORMAT;
    }
  if (is_late (pass, beat))
    {
      pass->counters[BL_PASS_BAD_HEARTBEATS]++;
      pass->ops.decided (pass->ctx, "heartbeat_ignored", "late", NULL, 0);
      return BL_ESTALE;
    }
  same = is_same_backend (pass, beat);
  if (!same && !first)
    replace_backend (pass, beat);
  if (first)
    {
      pass->backend = beat->id;
      pass->born = beat->born;
      pass->together = started_together (pass, beat);
    }
  pass->counters[BL_PASS_HEARTBEATS]++;
  pass->beat_seq = beat->seq;
  pass->beat_ms = now;
  /* What a stopping agent has said of itself stays.  */
  if (pass->stopping
      || (same && state == pass->self.state && beat->slots == pass->self.slots))
    return BL_OK;
  pass->self.slots = beat->slots;
  pass->self.state = state;
  bl_pass_announce (pass, same ? "heartbeat" : "heartbeat_of_new_start");
  return BL_OK;
}

int
bl_pass_leave (struct bl_pass *pass, uint64_t now, const struct bl_name *id)
{
  pass->now = now;
  if (!bl_name_equal (&pass->backend, id))
    return BL_ENOTFOUND;
  pass->left = true;
  bl_pass_set_state (pass, BL_STATE_LEFT, "backend_left");
  return BL_OK;
}

void
bl_pass_checked (struct bl_pass *pass, uint64_t now, bool alive)
{
  pass->now = now;
  if (alive)
    {
      if (pass->self.state == BL_STATE_STARTING && !pass->stopping)
        bl_pass_set_state (pass, BL_STATE_READY, "connection_accepted");
      return;
    }
  /* No backend server runs: whichever starts now is seen from its start, and
     until then there is nothing to ask this agent for.  */
  pass->watched = true;
  if (pass->stopping)
    return;
  if (pass->self.state == BL_STATE_STARTING)
    bl_pass_set_state (pass, BL_STATE_LEFT, "no_backend");
  if (pass->self.state >= BL_STATE_LEFT)
    return;
  bl_pass_forget_all (pass);
  pass->unanswered_ms = 0;
  bl_pass_set_state (pass, BL_STATE_DEAD, "connection_turned_down");
}

void
bl_pass_check_backend (struct bl_pass *p)
{
  bool starting = p->self.state == BL_STATE_STARTING;
  bool silent = p->unanswered_ms != 0 && p->now - p->unanswered_ms > QUIET_MS;
  bool missed
      = p->beat_ms != 0
        && p->now - p->beat_ms > MISSED_BEATS * p->settings.heartbeat_ms;

  if (p->stopping || p->self.state >= BL_STATE_LEFT || p->left)
    return;
  if (starting && p->start_checks < START_CHECKS
      && p->now - p->checked_ms >= START_CHECK_MS)
    {
      p->start_checks++;
      p->checked_ms = p->now;
      p->ops.check (p->ctx);
    }
  else if (!starting && (silent || missed || p->doubted)
           && p->now - p->checked_ms >= CHECK_MS)
    {
      p->checked_ms = p->now;
      p->doubted = false;
      p->ops.check (p->ctx);
    }
}
