/* fuzz_message.c -- control messages between instances: one that is valid must
   be read back after it was encoded  */

#include "fuzz/fuzz.h"

#include "core/msg.h"

#include <stdlib.h>

static void
check_message (const struct bl_msg *msg)
{
  struct bl_buffer buffer = { .len = 0 };
  struct bl_msg again;

  if (bl_msg_encode (msg, &buffer) != BL_OK
      || bl_msg_decode (&again, buffer.ptr, buffer.len) != BL_OK
      || again.type != msg->type || again.record_count != msg->record_count)
    abort ();
  bl_msg_clear (&again);
  bl_buffer_free (&buffer);
}

static void
parse_services (const struct bl_msg *msg)
{
  struct bl_service **services;

  if (bl_msg_parse_services (msg, &services) != BL_OK)
    return;
  for (size_t i = 0; i < msg->service_count; i++)
    bl_service_free (services[i]);
  free (services);
}

int
fuzz_input (const uint8_t *data, size_t size)
{
  struct bl_msg msg;

  if (bl_msg_decode (&msg, data, size) != BL_OK)
    return 0;
  check_message (&msg);
  parse_services (&msg);
  bl_msg_clear (&msg);
  return 0;
}
