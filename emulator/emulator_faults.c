/* emulator_faults.c -- faults and planned work in an emulator, at the present
   time  */

#include "emulator/emulator_inner.h"

#define START_DELAY_US 50000 /* from the restart of a process until it runs */

void
em_set_clock_offset (struct em *em, int64_t ms)
{
  em->clock_offset_ms = ms;
}

void
em_kill_balancer (struct em *em, size_t balancer, uint64_t down_ms)
{
  em->balancers[balancer].process.alive = false;
  em_post (em, (double)down_ms * 1000 + START_DELAY_US, em_restart_balancer,
           balancer, 0);
}

void
em_kill_agent (struct em *em, size_t server, uint64_t down_ms)
{
  em->servers[server].agent.alive = false;
  em_post (em, (double)down_ms * 1000 + START_DELAY_US, em_restart_agent,
           server, 0);
}

void
em_stop_agent (struct em *em, size_t server, uint64_t down_ms)
{
  struct em_server *s = &em->servers[server];
  struct bl_handover handover;

  bl_passthrough_stop (s->core, em_core_now_ms (em));
  if (em_agent_reaches_store (s)
      && bl_passthrough_hand_over (s->core, em_core_now_ms (em), &handover)
             == BL_OK)
    {
      bl_handover_clear (&s->handover);
      s->handover = handover;
    }
  em_kill_agent (em, server, down_ms);
}

void
em_crash_server (struct em *em, size_t server, uint64_t down_ms)
{
  struct em_server *s = &em->servers[server];

  s->alive = false;
  em_server_clear (s);
  if (down_ms > 0)
    em_post (em, (double)down_ms * 1000, em_start_server, server, 0);
}

void
em_power_off (struct em *em, uint64_t down_ms)
{
  const uint64_t spread_ms = 300; /* instances do not return at the same time */

  for (size_t i = 0; i < em->balancer_count; i++)
    em_kill_balancer (em, i,
                      down_ms + bl_random_below (&em->random, spread_ms));
  for (size_t i = 0; i < em->server_count; i++)
    {
      uint64_t down = down_ms + bl_random_below (&em->random, spread_ms);
      em_crash_server (em, i, down);
      em_kill_agent (em, i, down);
    }
}

/* The time at which a disconnection of FOR_MS ends, in microseconds; 0 means
 * never.  */
static uint64_t
disconnect_end (const struct em *em, uint64_t for_ms)
{
  return for_ms > 0 ? em->now_us + for_ms * 1000 : UINT64_MAX;
}

void
em_disconnect_server (struct em *em, size_t server, uint64_t for_ms)
{
  em->servers[server].agent.disconnected_until_us = disconnect_end (em, for_ms);
}

void
em_disconnect_balancer (struct em *em, size_t balancer, uint64_t for_ms)
{
  em->balancers[balancer].process.disconnected_until_us
      = disconnect_end (em, for_ms);
}

void
em_disconnect_store (struct em *em, size_t balancer, uint64_t for_ms)
{
  em->balancers[balancer].store_disconnected_until_us
      = disconnect_end (em, for_ms);
}

void
em_drain_server (struct em *em, size_t server)
{
  struct em_server *s = &em->servers[server];

  s->draining = true;
  em_send_heartbeat (em,
                     &(struct event){ .index = server, .tag = s->generation });
}

void
em_set_store_up (struct em *em, bool up)
{
  em->store_up = up;
  /* Agents publish their records again when the store returns.  */
  for (size_t i = 0; up && i < em->server_count; i++)
    if (em->servers[i].agent.alive)
      em->servers[i].published = *bl_passthrough_record (em->servers[i].core);
}

void
em_set_load_factor (struct em *em, double factor)
{
  em->load_factor = factor;
}

void
em_set_routes (struct em *em, uint64_t version, size_t omitted_class)
{
  em->routes_version = version;
  em->omitted_class = omitted_class;
}

void
em_slow_server (struct em *em, size_t server, double slowness)
{
  em->servers[server].slowness = slowness;
}
