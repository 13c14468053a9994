/* options.h -- options of tests in the environment  */

#ifndef TEST_OPTIONS_H
#define TEST_OPTIONS_H

#include <stdint.h>

/* Returns the number in the environment variable NAME, or FALLBACK if it is not
   set.  */
uint64_t environment_number (const char *name, uint64_t fallback);

#endif
