/* fuzz_heartbeat.c -- heartbeats of backend servers, as read over HTTP  */

#include "fuzz/fuzz.h"

#include "platform/platform.h"

#include <stdlib.h>

int
fuzz_input (const uint8_t *data, size_t size)
{
  static struct bl_findings findings;
  struct bl_heartbeat heartbeat;
  struct bl_str body = { (const char *)data, size };

  findings.count = 0;
  if (platform_heartbeat_parse (&heartbeat, bl_str_of ("i-1"), body, &findings)
          == BL_OK
      && (heartbeat.backend_start == 0 || heartbeat.service.len == 0))
    abort ();
  return 0;
}
