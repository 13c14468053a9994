/* deployment.h -- the emulated deployment that several tests share  */

#ifndef TEST_DEPLOYMENT_H
#define TEST_DEPLOYMENT_H

#include "emulator/emulator.h"

/* Four data centres with two services and three classes of requests, which need
   about half of the slots.  */
struct em_settings deployment_settings (uint64_t seed);

#endif
