/* single_agent.c -- operations of a pass-through agent that a test drives input
   by input  */

#include "test/single_agent.h"

static void
count_delivery (void *ctx, const uint8_t *packet, size_t len, uint32_t token)
{
  (void)packet;
  (void)len;
  (void)token;
  ((struct observed *)ctx)->delivered++;
}

static void
ignore_answer (void *ctx, uint32_t ip, const uint8_t *packet, size_t len)
{
  (void)ctx;
  (void)ip;
  (void)packet;
  (void)len;
}

static void
record_to_balancer (void *ctx,
                    struct bl_addr to,
                    const struct bl_link_msg *link,
                    const uint8_t *packet,
                    size_t len)
{
  (void)to;
  (void)packet;
  (void)len;
  ((struct observed *)ctx)->last = *link;
}

static void
ignore_send (void *ctx, struct bl_addr to, const uint8_t *buf, size_t len)
{
  (void)ctx;
  (void)to;
  (void)buf;
  (void)len;
}

static void
count_check (void *ctx)
{
  ((struct observed *)ctx)->checks++;
}

static void
record_published (void *ctx, const struct bl_record *record)
{
  ((struct observed *)ctx)->published = *record;
}

static void
ignore_decision (void *ctx,
                 const char *event_name,
                 const char *reason,
                 const struct bl_flow_key *flow,
                 uint64_t age_ms)
{
  (void)ctx;
  (void)event_name;
  (void)reason;
  (void)flow;
  (void)age_ms;
}

const struct bl_passthrough_ops single_agent_ops = {
  .deliver = count_delivery,
  .send_to_caller = ignore_answer,
  .send_to_balancer = record_to_balancer,
  .send = ignore_send,
  .check = count_check,
  .publish = record_published,
  .log_decision = ignore_decision,
};
