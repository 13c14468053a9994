/* deployment.c -- the emulated deployment that several tests share  */

#include "test/deployment.h"

struct em_settings
deployment_settings (uint64_t seed)
{
  return (struct em_settings){
    .seed = seed,
    .dc_count = 4,
    .balancers = { 2, 2, 1, 1 },
    .service_count = 2,
    .services = {
      { "listing-core", { 2, 2, 2, 1 }, 2, 8 },
      { "photo-serve", { 1, 1, 1, 1 }, 2, 8 },
    },
    .class_count = 3,
    .classes = {
      { .name = "alert", .service = 0, .flow_mode = EM_PERSISTENT_FLOW, .repeatable = true,
        .callers = 60, .pause_ms = 800, .work_ms = 15, .response_target_ms = 120,
        .deadline_ms = 1000, .retries = 2 },
      { .name = "sync", .service = 0, .flow_mode = EM_PERSISTENT_FLOW,
        .callers = 20, .pause_ms = 900, .work_ms = 20, .response_target_ms = 150,
        .deadline_ms = 1200, .retries = 2 },
      { .name = "photo", .service = 1, .flow_mode = EM_FLOW_PER_REQUEST, .repeatable = true,
        .callers = 6, .pause_ms = 900, .work_ms = 5, .response_target_ms = 500,
        .deadline_ms = 5000, .retries = 2 },
    },
    .near_ms = 0.1,
    .far_ms = 4.5,
    .caller_ms = 1,
    .loss = 5,
  };
}
